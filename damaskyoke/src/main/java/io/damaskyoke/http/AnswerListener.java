package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Hears how a request goes on, on the event loop: a head, then any number of parts, then one end;
 * or a failure at any point, after which nothing more comes.
 */
public interface AnswerListener {
    /**
     * A connection is open and the request is about to leave: the last moment to set headers that
     * depend on the time, or to call it off by false, after which nothing more comes.
     */
    default boolean leaves(HttpHeaders headers) {
        return true;
    }

    /** Status and headers have come. */
    void head(int status, HttpHeaders headers);

    /** A part of the body; the listener owns the buffer and releases it. */
    void part(ByteBuf data);

    /** The answer is whole. */
    void end();

    /** There will be no whole answer. */
    void failed(Failure failure);
}
