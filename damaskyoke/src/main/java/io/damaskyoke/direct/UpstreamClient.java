package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.http.BufferedResponse;
import io.damaskyoke.http.ClientRequest;
import io.damaskyoke.http.ExchangeFailure;
import io.damaskyoke.http.HttpClient;
import io.damaskyoke.http.ResponseMatch;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
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

    /** Far more than a report of all models and adapters that an upstream can hold. */
    private static final long MAX_ANSWER_BYTES = 256 * 1024;

    private static final int OK = 200;

    private final HttpClient client;
    private final Dialect dialect;
    private final ControlThread control;
    private final UpstreamStatementHandler statements;

    UpstreamClient(
            HttpClient client,
            Dialect dialect,
            ControlThread control,
            UpstreamStatementHandler statements) {
        this.client = client;
        this.dialect = dialect;
        this.control = control;
        this.statements = statements;
    }

    @Override
    public void sendOrder(Upstream to, Dialect.Order order, Consumer<OrderOutcome> then) {
        HttpHeaders headers = dialect.callHeaders(to.facts().id());
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
    public void requestReport(Upstream from, Consumer<Optional<LoadInput.UpstreamReported>> then) {
        call(
                from,
                HttpMethod.GET,
                dialect.reportPath(),
                dialect.callHeaders(from.facts().id()),
                new byte[0],
                REPORT_TIMEOUT,
                answer -> then.accept(read(from.facts().id(), answer)));
    }

    private Optional<LoadInput.UpstreamReported> read(UpstreamId from, BufferedResponse answer) {
        if (answer.failure().isPresent() || answer.status() != OK) {
            return Optional.empty();
        }
        try {
            return Optional.of(dialect.report(from, answer.body()));
        } catch (DirectException e) {
            LOG.warn("the report of upstream {} is unreadable: {}", from, e.getMessage());
            return Optional.empty();
        }
    }

    private void call(
            Upstream to,
            HttpMethod method,
            String path,
            HttpHeaders headers,
            byte[] body,
            Duration timeout,
            Consumer<BufferedResponse> then) {
        ClientRequest request =
                new ClientRequest(
                        method,
                        path,
                        headers,
                        Unpooled.wrappedBuffer(body),
                        ResponseMatch.byConnection(dialect::answeredAttempts),
                        Duration.ZERO);
        SentTo sentTo = SentTo.of(to, control.clock().instant());
        BufferedResponse.Reader reader =
                new BufferedResponse.Reader(
                        MAX_ANSWER_BYTES,
                        answer -> {
                            applyStatements(sentTo, answer);
                            then.accept(answer);
                        },
                        () -> !isPaused(to));
        if (isPaused(to)) {
            request.body().release();
            control.run(() -> reader.failed(ExchangeFailure.NOT_CONNECTED));
            return;
        }
        var call = client.send(to.facts().endpoint(), request, reader);
        control.after(timeout, () -> reader.expire(call));
    }

    private boolean isPaused(Upstream to) {
        return to.pause().isPaused(control.clock().instant());
    }

    private void applyStatements(SentTo sentTo, BufferedResponse answer) {
        if (answer.failure().isEmpty()) {
            Instant now = control.clock().instant();
            statements.callAnswered(
                    sentTo,
                    dialect.statements(answer.status(), answer.headers(), sentTo.id(), now));
        }
    }

    private static OrderOutcome outcome(ExchangeFailure failure) {
        return failure.mayHaveArrived() ? OrderOutcome.UNKNOWN : OrderOutcome.REFUSED;
    }
}
