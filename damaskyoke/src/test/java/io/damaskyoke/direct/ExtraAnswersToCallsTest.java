package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.OrderOperation;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.http.HttpClient;
import io.damaskyoke.http.HttpLoop;
import io.damaskyoke.http.RawServer;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;

/** Orders and report requests to an upstream that answers more often than it is asked. */
class ExtraAnswersToCallsTest {
    private static final HttpLoop LOOP = HttpLoop.start();
    private static final Duration LIMIT = Duration.ofSeconds(10);
    private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    private static final String REFUSED = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
    private static final String ACCEPTED_ATTEMPT =
            "HTTP/1.1 202 Accepted\r\nAttempt: 7\r\nContent-Length: 0\r\n\r\n";

    private final Metrics metrics = new Metrics();
    private final UpstreamTable table = new UpstreamTable();
    private final InstantSource clock = InstantSource.system();
    private final UpstreamClient calls = calls();

    @AfterAll
    static void stop() {
        LOOP.close();
    }

    // Guards against an order that is believed accepted as the one before it was.
    @Test
    void anExtraAnswerToAnOrderIsNotTakenForThatToTheNextOne() {
        try (RawServer server = new RawServer(ACCEPTED, RawServer.AGAIN + REFUSED)) {
            Upstream upstream = list(server);
            assertEquals(OrderOutcome.ACCEPTED, order(upstream));
            assertEquals(OrderOutcome.REFUSED, order(upstream));
        }
    }

    // Guards against a report of the moment before the last order.
    @Test
    void anExtraReportIsNotTakenForThatOfTheNextMoment() {
        try (RawServer server = new RawServer(report(3), RawServer.AGAIN + report(4))) {
            Upstream upstream = list(server);
            assertEquals(3, sequence(upstream));
            assertEquals(4, sequence(upstream));
        }
    }

    // Guards against a report that is taken for the acceptance of an order.
    @Test
    void anExtraReportIsNotTakenForTheAnswerToAnOrder() {
        try (RawServer server = new RawServer(report(3), RawServer.AGAIN + ACCEPTED)) {
            Upstream upstream = list(server);
            assertEquals(3, sequence(upstream));
            assertEquals(OrderOutcome.ACCEPTED, order(upstream));
        }
    }

    // Guards against an answer to a request that is taken for that to an order.
    @Test
    void anAnswerThatNamesAnAttemptIsNotTakenForThatToAnOrder() {
        try (RawServer server = new RawServer(ACCEPTED_ATTEMPT + REFUSED)) {
            assertEquals(OrderOutcome.REFUSED, order(list(server)));
            assertEquals(
                    1,
                    metrics.counter("http_unmatched_reasons{reason=\"other_request\"}").getCount());
        }
    }

    // Guards against an order that waits for more than its time for an answer of its own.
    @Test
    void theOutcomeIsUnknownIfOnlyAnswersToAttemptsCome() {
        try (RawServer server = new RawServer(ACCEPTED_ATTEMPT)) {
            assertEquals(OrderOutcome.UNKNOWN, order(list(server)));
        }
    }

    private static String report(long sequence) {
        return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + sequence;
    }

    private OrderOutcome order(Upstream to) {
        Dialect.Order order =
                new Dialect.Order(OrderOperation.LOAD, new ModelRef("m", ""), "router", 1, 0);
        return result(then -> calls.sendOrder(to, order, then));
    }

    private long sequence(Upstream from) {
        Optional<LoadInput.UpstreamReported> report =
                result(then -> calls.requestReport(from, then));
        return report.orElseThrow().held().sequence();
    }

    private static <T> T result(Consumer<Consumer<T>> call) {
        CompletableFuture<T> result = new CompletableFuture<>();
        LOOP.events().execute(() -> call.accept(result::complete));
        return result.orTimeout(LIMIT.toSeconds(), TimeUnit.SECONDS).join();
    }

    private Upstream list(RawServer server) {
        UpstreamId id = UpstreamId.of("i-1");
        table.put(
                new UpstreamFacts(
                        id,
                        1,
                        "service",
                        server.endpoint(),
                        "a",
                        4,
                        false,
                        Duration.ZERO,
                        HeldModels.none(1),
                        Set.of(),
                        Set.of()),
                clock.instant());
        return table.find(id).orElseThrow();
    }

    private UpstreamClient calls() {
        UpstreamStatementHandler statements =
                new UpstreamStatementHandler(
                        clock,
                        table,
                        new DeclaredLimits(clock, table, new SilentAnnouncer()),
                        new ReportedLoads(clock, table, metrics),
                        new AnnouncedDepartures(clock, table, new SilentDepartures()),
                        metrics);
        return new UpstreamClient(
                new HttpClient(LOOP, Duration.ofMillis(500), metrics),
                new TestDialect(),
                new EventLoopControlThread(LOOP.events(), clock, metrics),
                statements);
    }
}
