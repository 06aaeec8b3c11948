package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * A request received by the server and its response: {@code call.answer(200, headers, body)}, or
 * {@code call.start(200, headers)}, {@code call.part(data)} and {@code call.end()}.
 *
 * <p>After the caller has disconnected, all methods may still be called and nothing is sent.
 */
public final class HttpCall {
    private static final Runnable NOTHING = () -> {};

    private final ServerConnection connection;
    private final FullHttpRequest request;
    private final long arrivedNanos;
    private final boolean lastOfCaller;
    private final boolean bodiless;
    private Runnable onDisconnect = NOTHING;
    private Runnable onWritable = NOTHING;
    private boolean started;
    private boolean over;

    HttpCall(ServerConnection connection, FullHttpRequest request, long arrivedNanos) {
        this.connection = connection;
        this.request = request;
        this.arrivedNanos = arrivedNanos;
        this.lastOfCaller = !HttpUtil.isKeepAlive(request);
        this.bodiless = request.method().equals(HttpMethod.HEAD);
    }

    /** Returns the method, for example {@code GET}. */
    public String method() {
        return request.method().name();
    }

    /** Returns the path and query as received. */
    public String target() {
        return request.uri();
    }

    /** Returns the headers as received. */
    public HttpHeaders headers() {
        return request.headers();
    }

    /** Returns the complete body; the call owns the buffer until it is over. */
    public ByteBuf body() {
        return request.content();
    }

    /**
     * Returns when the first byte of the request arrived, as far as is known, in nanoseconds of
     * {@link System#nanoTime()}.
     */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Sets the action that runs once if the caller disconnects before the response has ended. */
    public void onDisconnect(Runnable action) {
        onDisconnect = action;
    }

    /** Sets the action that runs each time the connection becomes writable again. */
    public void onWritable(Runnable action) {
        onWritable = action;
    }

    /** Returns false while so much data is buffered that the sender should pause. */
    public boolean writable() {
        return connection.writable();
    }

    /** Returns true once the call was answered or aborted, or the caller has disconnected. */
    public boolean over() {
        return over;
    }

    /**
     * Sends a complete response and takes ownership of the body. After {@link #start} it aborts the
     * call instead, as the caller would take the response for a part of the first one's body.
     */
    public void answer(int status, HttpHeaders headers, ByteBuf body) {
        if (over || started) {
            body.release();
            abort();
            return;
        }
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        boolean close = setCloseHeader(headers);
        if (bodiless) {
            body.release();
        }
        connection.send(response(status, headers, bodiless ? Unpooled.EMPTY_BUFFER : body));
        finish(close);
    }

    /**
     * Sends the status and headers of a chunked response; the body follows in parts. A second call
     * aborts the response.
     */
    public void start(int status, HttpHeaders headers) {
        if (over || started) {
            abort();
            return;
        }
        started = true;
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        setCloseHeader(headers);
        if (bodiless) {
            connection.send(response(status, headers, Unpooled.EMPTY_BUFFER));
            return;
        }
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        connection.send(
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
    }

    /** Sends a part of the body at once and takes ownership of the buffer. */
    public void part(ByteBuf data) {
        if (over || bodiless) {
            data.release();
            return;
        }
        connection.sendPart(data);
    }

    /** Ends a response that was sent in parts. */
    public void end() {
        if (over) {
            return;
        }
        if (!bodiless) {
            connection.send(LastHttpContent.EMPTY_LAST_CONTENT);
        }
        finish(lastOfCaller || connection.draining());
    }

    /**
     * Closes the connection at once. The caller can't take a response that has begun for complete,
     * as its last chunk is missing.
     */
    public void abort() {
        if (over) {
            return;
        }
        over = true;
        request.release();
        connection.abort();
    }

    void callerDisconnected() {
        if (over) {
            return;
        }
        over = true;
        onDisconnect.run();
        request.release();
    }

    void becameWritable() {
        if (!over) {
            onWritable.run();
        }
    }

    private static FullHttpResponse response(int status, HttpHeaders headers, ByteBuf body) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                body,
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    private boolean setCloseHeader(HttpHeaders headers) {
        boolean close = lastOfCaller || connection.draining();
        if (close) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return close;
    }

    private void finish(boolean close) {
        over = true;
        request.release();
        connection.finished(close);
    }
}
