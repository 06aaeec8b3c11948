package io.damaskyoke.direct;

import io.damaskyoke.control.cold.RequestLimit;
import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.http.RetryAfter;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A minimal dialect for tests.
 *
 * <p>The store's value is "ready" or "draining" for an upstream and the version number for a
 * configuration. The key of a drained zone ends with the zone's name. Headers are copied unchanged,
 * orders have no body, and a report is the number of orders accepted.
 */
final class TestDialect implements Dialect {
    @Override
    public String operatorPrefix() {
        return "operator/";
    }

    @Override
    public String configurationKey() {
        return operatorPrefix() + "configuration";
    }

    @Override
    public Optional<String> drainedZone(String key) {
        String prefix = operatorPrefix() + "drained/";
        return key.startsWith(prefix)
                ? Optional.of(key.substring(prefix.length()))
                : Optional.empty();
    }

    @Override
    public void checkDrain(byte[] value) {
        if (value.length > 0) {
            throw new DirectException(
                    DirectException.Code.MALFORMED, "the value of a drain key must be empty");
        }
    }

    /** Returns the zone of an upstream: {@code a} or {@code b}, by the hash of its name. */
    static String zone(String upstream) {
        return upstream.hashCode() % 2 == 0 ? "a" : "b";
    }

    @Override
    public String upstreamPrefix() {
        return "up/";
    }

    @Override
    public Optional<UpstreamFacts> upstream(String key, byte[] value, long revision) {
        String state = new String(value, StandardCharsets.UTF_8);
        if (!state.equals("ready") && !state.equals("draining")) {
            return Optional.empty();
        }
        return Optional.of(
                new UpstreamFacts(
                        UpstreamId.of(key.substring(upstreamPrefix().length())),
                        revision,
                        "service",
                        new Endpoint("127.0.0.1", 1),
                        zone(key.substring(upstreamPrefix().length())),
                        4,
                        state.equals("draining"),
                        Duration.ZERO,
                        new HeldModels(1, HeldModels.UNKNOWN_SEQUENCE, Map.of()),
                        Set.of(),
                        Set.of()));
    }

    @Override
    public DirectConfiguration configuration(byte[] value, long revision) {
        long version = Long.parseLong(new String(value, StandardCharsets.UTF_8));
        return DirectConfiguration.builder(version, revision).build();
    }

    @Override
    public CallerRequest request(HttpHeaders headers) {
        return new CallerRequest(
                "attempt",
                "host",
                Optional.empty(),
                Optional.empty(),
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    @Override
    public HttpHeaders toUpstream(HttpHeaders fromCaller, ForwardingMetadata forwarding) {
        return fromCaller.copy();
    }

    @Override
    public List<String> answeredAttempts(HttpHeaders fromUpstream) {
        return fromUpstream.getAll("Attempt");
    }

    @Override
    public UpstreamAnswer answer(
            int status, HttpHeaders fromUpstream, UpstreamId expected, Instant receivedAt) {
        return new UpstreamAnswer(
                status,
                status == 503,
                false,
                true,
                false,
                statements(status, fromUpstream, expected, receivedAt));
    }

    @Override
    public UpstreamStatements statements(
            int status, HttpHeaders fromUpstream, UpstreamId expected, Instant receivedAt) {
        return new UpstreamStatements(
                Optional.of(expected),
                Optional.empty(),
                0,
                RequestLimit.NO_LIMIT,
                RetryAfter.parse(fromUpstream.getAll("Retry-After"), Optional.empty(), receivedAt),
                fromUpstream.contains("Leaving"));
    }

    @Override
    public HttpHeaders toCaller(HttpHeaders fromUpstream) {
        return fromUpstream.copy();
    }

    @Override
    public HttpHeaders localAnswerHeaders(String attempt) {
        return new DefaultHttpHeaders();
    }

    @Override
    public String orderPath() {
        return "/order";
    }

    @Override
    public byte[] orderBody(Order order) {
        return new byte[0];
    }

    @Override
    public OrderOutcome outcome(int status) {
        return status == 202 ? OrderOutcome.ACCEPTED : OrderOutcome.REFUSED;
    }

    @Override
    public HttpHeaders callHeaders(UpstreamId to) {
        return new DefaultHttpHeaders();
    }

    @Override
    public String reportPath() {
        return "/report";
    }

    @Override
    public LoadInput.UpstreamReported report(UpstreamId from, byte[] body) {
        long sequence = Long.parseLong(new String(body, StandardCharsets.UTF_8));
        return new LoadInput.UpstreamReported(
                from, false, new HeldModels(1, sequence, Map.of()), Set.of(), Set.of());
    }
}
