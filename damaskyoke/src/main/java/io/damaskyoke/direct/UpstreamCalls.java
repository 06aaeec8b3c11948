package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.http.BufferedResponse;
import io.damaskyoke.http.ClientRequest;
import io.damaskyoke.http.ExchangeFailure;
import io.damaskyoke.http.HttpClient;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Orders to upstreams and reports from them, over the traffic's own client. */
final class UpstreamCalls implements OrderClient {
    private static final Logger LOG = LogManager.getLogger(UpstreamCalls.class);

    /** Upstreams answer reports within a few milliseconds. */
    private static final Duration LIMIT = Duration.ofMillis(400);

    /**
     * They answer orders as fast, or never: then each moment of waiting is one without the model.
     * Given up too early, an order is only given again, and accepted once.
     */
    private static final Duration ORDER_LIMIT = Duration.ofMillis(150);

    private static final Duration KEPT = Duration.ofSeconds(2);
    private static final int OK = 200;

    private final HttpClient client;
    private final Dialect dialect;
    private final ControlThread control;

    UpstreamCalls(HttpClient client, Dialect dialect, ControlThread control) {
        this.client = client;
        this.dialect = dialect;
        this.control = control;
    }

    @Override
    public void sendOrder(UpstreamFacts to, Dialect.Order order, Consumer<OrderOutcome> then) {
        HttpHeaders headers = dialect.callHeaders(to.id());
        headers.set("Content-Type", "application/json");
        call(
                to,
                HttpMethod.POST,
                dialect.orderPath(),
                headers,
                dialect.orderBody(order),
                ORDER_LIMIT,
                answer ->
                        then.accept(
                                answer.failure()
                                        .map(UpstreamCalls::outcome)
                                        .orElseGet(() -> dialect.outcome(answer.status()))));
    }

    @Override
    public void requestReport(
            UpstreamFacts from, Consumer<Optional<LoadInput.UpstreamReported>> then) {
        call(
                from,
                HttpMethod.GET,
                dialect.reportPath(),
                dialect.callHeaders(from.id()),
                new byte[0],
                LIMIT,
                answer -> then.accept(read(from, answer)));
    }

    private Optional<LoadInput.UpstreamReported> read(UpstreamFacts from, BufferedResponse answer) {
        if (answer.failure().isPresent() || answer.status() != OK) {
            return Optional.empty();
        }
        try {
            return Optional.of(dialect.report(from.id(), answer.body()));
        } catch (DirectException e) {
            LOG.warn("the report of {} can't be read: {}", from.id(), e.getMessage());
            return Optional.empty();
        }
    }

    private void call(
            UpstreamFacts to,
            HttpMethod method,
            String path,
            HttpHeaders headers,
            byte[] body,
            Duration limit,
            Consumer<BufferedResponse> then) {
        ClientRequest request =
                new ClientRequest(
                        method, path, headers, Unpooled.wrappedBuffer(body), any -> true, KEPT);
        BufferedResponse.Reader reader = new BufferedResponse.Reader(then);
        var call = client.send(to.endpoint(), request, reader);
        control.after(limit, () -> reader.expire(call));
    }

    private static OrderOutcome outcome(ExchangeFailure failure) {
        return failure.mayHaveArrived() ? OrderOutcome.UNKNOWN : OrderOutcome.REFUSED;
    }
}
