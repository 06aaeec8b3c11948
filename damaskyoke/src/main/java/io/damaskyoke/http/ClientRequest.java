package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.function.Predicate;

/**
 * A whole request to a server.
 *
 * @param path path and query as they go on the wire
 * @param body the whole body, perhaps empty; the client releases it
 * @param mine tells from an answer's headers whether it answers this request. A server may send a
 *     second answer to an earlier request on the connection, which must not become this one's
 * @param idleLimit how long a kept connection may have been idle to carry this request; zero for a
 *     new connection always
 */
public record ClientRequest(
        HttpMethod method,
        String path,
        HttpHeaders headers,
        ByteBuf body,
        Predicate<HttpHeaders> mine,
        Duration idleLimit) {}
