package io.damaskyoke.direct;

import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import java.util.Optional;
import java.util.function.Consumer;

/** The leader's way to upstreams: {@code calls.order(upstream, order, outcome -> ...)}. */
interface OrderCalls {
    /** Gives an order; the outcome comes once, {@code UNKNOWN} if there is no answer in time. */
    void order(UpstreamFacts to, Dialect.Order order, Consumer<OrderOutcome> then);

    /** Asks for a report; empty if none comes in time or it can't be read. */
    void report(UpstreamFacts from, Consumer<Optional<LoadInput.UpstreamReported>> then);
}
