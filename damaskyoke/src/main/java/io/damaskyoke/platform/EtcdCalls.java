package io.damaskyoke.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.platform.PlatformException.Code;
import io.damaskyoke.platform.SingleCalls.Reply;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.net.UnknownHostException;
import java.nio.channels.UnresolvedAddressException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.stream.BufferOverflowException;

/**
 * Single calls to the JSON gateway: tries the endpoints in turn, keeps to one time limit, and tells
 * calls that had no effect from those that may have had one.
 *
 * <p>Each call is sent once to an endpoint: a write that is sent again after a cut connection may
 * take effect twice.
 */
final class EtcdCalls {
    private static final int CLIENT_ERROR = 400;
    private static final int SERVER_ERROR = 500;
    private static final int NOT_FOUND = 404;
    private static final int GRPC_NOT_FOUND = 5;
    private static final String LEASE_PATH = "/v3/lease/";
    private static final int SHOWN_BYTES = 200;
    private static final long MAX_ANSWER_BYTES = 64L << 20;

    private final List<URI> endpoints;
    private final Map<URI, SingleCalls> connections;
    private final Duration timeout;
    private final StoreHealth health;
    private final AtomicInteger preferred = new AtomicInteger();

    /** What a call does, and so what a missing answer means. */
    enum Kind {
        /** May be sent again: a read, or a step that comes to the same when repeated. */
        REPEATABLE,
        /** Must not be sent again once it may have reached the store. */
        WRITE
    }

    /** One call; {@code end} is its limit on the monotonic clock, in nanoseconds. */
    private record Call(String op, Kind kind, String path, byte[] body, long end) {}

    EtcdCalls(
            ActorSystem system,
            List<URI> endpoints,
            Duration timeout,
            int connections,
            StoreHealth health) {
        this.endpoints = List.copyOf(endpoints);
        this.timeout = timeout;
        this.health = health;
        Duration connecting = timeout.dividedBy(endpoints.size() + 1);
        this.connections =
                endpoints.stream()
                        .distinct()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        endpoint -> endpoint,
                                        endpoint ->
                                                new SingleCalls(
                                                        system,
                                                        endpoint,
                                                        connections,
                                                        connecting,
                                                        MAX_ANSWER_BYTES)));
    }

    /**
     * The answer's JSON, or a {@link PlatformException} within the time limit. That a lease has
     * ended is an answer, with an empty result.
     */
    CompletionStage<JsonNode> call(String op, Kind kind, String path, JsonNode body) {
        health.called(op);
        long end = System.nanoTime() + timeout.toNanos();
        Call call = new Call(op, kind, path, EtcdJson.bytes(body), end);
        return attempt(call, preferred.get(), endpoints.size())
                .handle(
                        (reply, error) -> {
                            if (error != null) {
                                PlatformException cause = platform(call, error);
                                health.failed(op, cause);
                                throw cause;
                            }
                            health.answered();
                            return read(call, reply);
                        });
    }

    /** Where the next call goes first. */
    URI endpoint() {
        return endpoints.get(Math.floorMod(preferred.get(), endpoints.size()));
    }

    /** Tries the next endpoint first from now on, if this one is the first. */
    void failed(URI endpoint) {
        int current = preferred.get();
        if (endpoint().equals(endpoint)) {
            preferred.compareAndSet(current, current + 1);
        }
    }

    private CompletionStage<Reply> attempt(Call call, int index, int left) {
        URI endpoint = endpoints.get(Math.floorMod(index, endpoints.size()));
        return send(call, endpoint, limit(call, left))
                .exceptionallyCompose(
                        error -> {
                            failed(endpoint);
                            PlatformException cause = platform(call, error);
                            boolean inTime = System.nanoTime() < call.end();
                            if (left > 1 && inTime && cause.code() == Code.UNAVAILABLE) {
                                return attempt(call, index + 1, left - 1);
                            }
                            return CompletableFuture.failedFuture(cause);
                        });
    }

    /** A read leaves time for the endpoints after it; a write that was sent has no second try. */
    private static Duration limit(Call call, int left) {
        long rest = Math.max(1, call.end() - System.nanoTime());
        return Duration.ofNanos(call.kind() == Kind.REPEATABLE ? rest / left : rest);
    }

    private CompletionStage<Reply> send(Call call, URI endpoint, Duration limit) {
        HttpRequest request =
                HttpRequest.POST(endpoint.resolve(call.path()).toString())
                        .withEntity(ContentTypes.APPLICATION_JSON, call.body());
        return connections
                .get(endpoint)
                .send(request, limit)
                .thenApply(EtcdCalls::refuseServerError);
    }

    /** A 5xx may come from a proxy, or from a store that gave up waiting for its own write. */
    private static Reply refuseServerError(Reply reply) {
        if (reply.status() >= SERVER_ERROR) {
            throw new IllegalStateException("the store answered " + shown(reply));
        }
        return reply;
    }

    private static JsonNode read(Call call, Reply reply) {
        if (reply.status() == NOT_FOUND && call.path().startsWith(LEASE_PATH) && ended(reply)) {
            return EtcdJson.object().set("result", EtcdJson.object());
        }
        if (reply.status() >= CLIENT_ERROR) {
            throw new PlatformException(
                    Code.UNAVAILABLE, call.op() + ": the store refused it, " + shown(reply));
        }
        return EtcdJson.parse(reply.body());
    }

    /** A proxy answers 404 as well, and an ended lease must not be inferred from that. */
    private static boolean ended(Reply reply) {
        return EtcdJson.parse(reply.body()).path("code").asInt() == GRPC_NOT_FOUND;
    }

    private static PlatformException platform(Call call, Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (cause instanceof PlatformException known) {
            return known;
        }
        boolean harmless = call.kind() == Kind.REPEATABLE || neverSent(cause);
        return new PlatformException(
                harmless ? Code.UNAVAILABLE : Code.OUTCOME_UNKNOWN,
                call.op() + ": " + cause,
                cause);
    }

    /** True if no byte can have left: there was no connection, or no room to wait for one. */
    private static boolean neverSent(Throwable error) {
        for (Throwable cause = error; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException
                    || cause instanceof NoRouteToHostException
                    || cause instanceof UnknownHostException
                    || cause instanceof UnresolvedAddressException
                    || cause instanceof BufferOverflowException) {
                return true;
            }
        }
        return false;
    }

    private static String shown(Reply reply) {
        String body = new String(reply.body(), StandardCharsets.UTF_8);
        return reply.status() + ": " + body.substring(0, Math.min(body.length(), SHOWN_BYTES));
    }
}
