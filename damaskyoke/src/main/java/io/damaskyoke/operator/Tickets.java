package io.damaskyoke.operator;

import io.damaskyoke.control.configuration.ConfigurationService;
import io.damaskyoke.control.configuration.TicketParser;
import io.damaskyoke.control.configuration.TicketResult;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** What the operator endpoint asks of whoever takes tickets. */
public interface Tickets {
    /** Reads and submits a ticket; a {@code TicketException} if it can't be read. */
    CompletionStage<TicketResult> submit(byte[] json);

    /** The accepted ticket with this number, if it is known. */
    CompletionStage<Optional<TicketResult.Accepted>> find(long number);

    /**
     * Tickets that go to this service: {@code Tickets.of(TicketParser.withHasher(hasher),
     * service)}.
     */
    static Tickets of(TicketParser parser, ConfigurationService service) {
        return new Tickets() {
            @Override
            public CompletionStage<TicketResult> submit(byte[] json) {
                return service.submit(parser.parse(json));
            }

            @Override
            public CompletionStage<Optional<TicketResult.Accepted>> find(long number) {
                return service.findTicket(number);
            }
        };
    }
}
