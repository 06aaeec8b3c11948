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

/** Sends orders to upstreams and fetches their reports, with the HTTP client of the traffic. */
final class UpstreamClient implements OrderClient {
    private static final Logger LOG = LogManager.getLogger(UpstreamClient.class);

    /** The timeout of a report, which upstreams answer within a few milliseconds. */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);

    /**
     * The timeout of an order. Upstreams answer as fast as for reports, or never, and then waiting
     * only delays the model. An order that is given up too early is sent again, and accepted once.
     */
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(150);

    private static final Duration MAX_IDLE = Duration.ofSeconds(2);
    private static final int OK = 200;

    private final HttpClient client;
    private final Dialect dialect;
    private final ControlThread control;

    UpstreamClient(HttpClient client, Dialect dialect, ControlThread control) {
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
                ORDER_TIMEOUT,
                answer ->
                        then.accept(
                                answer.failure()
                                        .map(UpstreamClient::outcome)
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
                REPORT_TIMEOUT,
                answer -> then.accept(read(from, answer)));
    }

    private Optional<LoadInput.UpstreamReported> read(UpstreamFacts from, BufferedResponse answer) {
        if (answer.failure().isPresent() || answer.status() != OK) {
            return Optional.empty();
        }
        try {
            return Optional.of(dialect.report(from.id(), answer.body()));
        } catch (DirectException e) {
            LOG.warn("the report of upstream {} is unreadable: {}", from.id(), e.getMessage());
            return Optional.empty();
        }
    }

    private void call(
            UpstreamFacts to,
            HttpMethod method,
            String path,
            HttpHeaders headers,
            byte[] body,
            Duration timeout,
            Consumer<BufferedResponse> then) {
        ClientRequest request =
                new ClientRequest(
                        method, path, headers, Unpooled.wrappedBuffer(body), any -> true, MAX_IDLE);
        BufferedResponse.Reader reader = new BufferedResponse.Reader(then);
        var call = client.send(to.endpoint(), request, reader);
        control.after(timeout, () -> reader.expire(call));
    }

    private static OrderOutcome outcome(ExchangeFailure failure) {
        return failure.mayHaveArrived() ? OrderOutcome.UNKNOWN : OrderOutcome.REFUSED;
    }
}
