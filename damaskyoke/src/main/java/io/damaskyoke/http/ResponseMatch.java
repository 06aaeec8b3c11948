package io.damaskyoke.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.function.Function;

/**
 * How the response to a request is told from extra ones: {@code ResponseMatch.byId("9c41", headers
 * -> headers.getAll("Request-Id"))}.
 *
 * <p>A server may answer a request twice, the second time when the next request of the connection
 * awaits its response. Requests of different kinds never share a connection.
 */
public final class ResponseMatch {
    private enum Kind {
        ID,
        ORDER,
        SINGLE
    }

    private static final ResponseMatch BY_ORDER =
            new ResponseMatch(Kind.ORDER, "", any -> List.of());
    private static final ResponseMatch SINGLE =
            new ResponseMatch(Kind.SINGLE, "", any -> List.of());

    private final Kind kind;
    private final String id;
    private final Function<HttpHeaders, List<String>> echoedIds;

    private ResponseMatch(Kind kind, String id, Function<HttpHeaders, List<String>> echoedIds) {
        this.kind = kind;
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
        return id.isEmpty() ? SINGLE : new ResponseMatch(Kind.ID, id, echoedIds);
    }

    /** Takes the responses of a connection for those to its requests, in their order. */
    public static ResponseMatch byOrder() {
        return BY_ORDER;
    }

    /** Gives the request a connection that carries no other one. */
    public static ResponseMatch byConnection() {
        return SINGLE;
    }

    /** Returns the id, or an empty text if responses name none. */
    String id() {
        return id;
    }

    boolean needsOwnConnection() {
        return kind == Kind.SINGLE;
    }

    boolean isById() {
        return kind == Kind.ID;
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
