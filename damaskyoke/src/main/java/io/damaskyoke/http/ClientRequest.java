package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;

/**
 * A complete HTTP request to a server.
 *
 * @param method the HTTP method
 * @param path the path and query, as sent
 * @param headers the headers; the client adds Content-Length
 * @param body the complete body, possibly empty; the client releases it
 * @param match how the response is told from extra ones to earlier requests
 * @param idleLimit how long a pooled connection may have been idle to be reused for this request;
 *     zero always opens a new connection
 */
public record ClientRequest(
        HttpMethod method,
        String path,
        HttpHeaders headers,
        ByteBuf body,
        ResponseMatch match,
        Duration idleLimit) {
    /**
     * Returns true if the connection may carry no other request: a response without a body is read
     * as such only after its own request.
     */
    boolean needsOwnConnection() {
        return match.needsOwnConnection() || isBodiless();
    }

    /** Returns true if the response has no body whatever its headers say. */
    boolean isBodiless() {
        return method.equals(HttpMethod.HEAD);
    }
}
