package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the response to a request, on the event loop: one head, any number of parts, then one
 * end; or a failure at any point, which is the last event.
 */
public interface ResponseListener {
    /**
     * Called when a connection is open and the request is about to be written: the last opportunity
     * to set headers that depend on the time. Returning false cancels the request, and no further
     * event follows.
     */
    default boolean beforeSend(HttpHeaders headers) {
        return true;
    }

    /** Receives the status and the headers. */
    void head(int status, HttpHeaders headers);

    /** Receives a part of the body; the listener owns the buffer and releases it. */
    void part(ByteBuf data);

    /**
     * Returns true if the connection may carry other requests after the response, which is
     * complete; called before {@link #end}.
     */
    default boolean mayReuseConnection() {
        return true;
    }

    /** Returns the size of the largest body that is received; a larger one fails the exchange. */
    default long maxBodyBytes() {
        return Long.MAX_VALUE;
    }

    /** Called when the response is complete. */
    void end();

    /** Called when the exchange has failed and the response will not be complete. */
    void failed(ExchangeFailure failure);
}
