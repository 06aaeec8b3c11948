package io.damaskyoke.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.function.Function;

/**
 * How the response to a request is told from extra ones: {@code ResponseMatch.byId("9c41", headers
 * -> headers.getAll("Request-Id"))}.
 *
 * <p>A server may answer a request twice, the second time when the next request of the connection
 * awaits its response. So a connection carries several requests only if responses name them.
 */
public final class ResponseMatch {
    private static final ResponseMatch BY_CONNECTION = byConnection(any -> List.of());

    private final String id;
    private final Function<HttpHeaders, List<String>> echoedIds;

    private ResponseMatch(String id, Function<HttpHeaders, List<String>> echoedIds) {
        this.id = id;
        this.echoedIds = echoedIds;
    }

    /**
     * Matches by an id that responses echo. No connection carries the same id twice, so that the id
     * tells also the sends of one request apart. A request without an id gets a connection of its
     * own.
     *
     * @param id the id of the request; empty if it has none
     * @param echoedIds returns the ids that the headers of a response name
     */
    public static ResponseMatch byId(String id, Function<HttpHeaders, List<String>> echoedIds) {
        return id.isEmpty() ? BY_CONNECTION : new ResponseMatch(id, echoedIds);
    }

    /** Gives the request a connection that carries no other one. */
    public static ResponseMatch byConnection() {
        return BY_CONNECTION;
    }

    /**
     * Gives the request, which has no id, a connection that carries no other one, and skips
     * responses that name an id.
     *
     * @param echoedIds returns the ids that the headers of a response name
     */
    public static ResponseMatch byConnection(Function<HttpHeaders, List<String>> echoedIds) {
        return new ResponseMatch("", echoedIds);
    }

    /** Returns the id, or an empty text if responses name none. */
    String id() {
        return id;
    }

    boolean needsOwnConnection() {
        return id.isEmpty();
    }

    /** Returns true if a response with these headers names no request. */
    boolean isUnnamed(HttpHeaders response) {
        return echoedIds.apply(response).isEmpty();
    }

    /** Returns true if a response with these headers names this request and no other one. */
    boolean isNamed(HttpHeaders response) {
        List<String> named = echoedIds.apply(response);
        return !named.isEmpty() && named.stream().allMatch(id::equals);
    }
}
