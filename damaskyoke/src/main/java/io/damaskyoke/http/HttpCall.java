package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One request to a server and its answer: {@code call.answer(200, headers, body)}, or {@code
 * call.start(200, headers)}, {@code call.part(data)} and {@code call.end()}.
 *
 * <p>After the caller has gone, everything is accepted and nothing is sent.
 */
public final class HttpCall {
    private static final Runnable NOTHING = () -> {};

    private final ServerConnection connection;
    private final FullHttpRequest request;
    private final long arrivedNanos;
    private final boolean lastOfCaller;
    private Runnable gone = NOTHING;
    private Runnable writable = NOTHING;
    private boolean over;

    HttpCall(ServerConnection connection, FullHttpRequest request, long arrivedNanos) {
        this.connection = connection;
        this.request = request;
        this.arrivedNanos = arrivedNanos;
        this.lastOfCaller = !HttpUtil.isKeepAlive(request);
    }

    /** The method, for example {@code GET}. */
    public String method() {
        return request.method().name();
    }

    /** Path and query as they came. */
    public String target() {
        return request.uri();
    }

    /** The headers as they came. */
    public HttpHeaders headers() {
        return request.headers();
    }

    /** The whole body; the call owns it until it is over. */
    public ByteBuf body() {
        return request.content();
    }

    /**
     * When the first byte of the request came, as far as is known, on {@link System#nanoTime()}.
     */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Runs once if the caller's connection ends before the answer has. */
    public void onGone(Runnable action) {
        gone = action;
    }

    /** Runs each time when the caller has read enough for more to be sent. */
    public void onWritable(Runnable action) {
        writable = action;
    }

    /** False while so much is waiting to be sent that the sender should hold back. */
    public boolean writable() {
        return connection.writable();
    }

    /** True once it was answered, aborted, or the caller has gone. */
    public boolean over() {
        return over;
    }

    /** Sends a whole answer; takes over the body. */
    public void answer(int status, HttpHeaders headers, ByteBuf body) {
        if (over) {
            body.release();
            return;
        }
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        boolean close = lastHeader(headers);
        boolean bodiless = request.method().name().equals("HEAD");
        if (bodiless) {
            body.release();
        }
        connection.send(
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        bodiless ? Unpooled.EMPTY_BUFFER : body,
                        headers,
                        EmptyHttpHeaders.INSTANCE));
        finish(close);
    }

    /** Sends status and headers; the body follows in parts. */
    public void start(int status, HttpHeaders headers) {
        if (over) {
            return;
        }
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        lastHeader(headers);
        connection.send(
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers));
    }

    /** Sends a part of the body at once; takes it over. */
    public void part(ByteBuf data) {
        if (over) {
            data.release();
            return;
        }
        connection.send(new DefaultHttpContent(data));
    }

    /** Ends an answer that was sent in parts. */
    public void end() {
        if (over) {
            return;
        }
        connection.send(LastHttpContent.EMPTY_LAST_CONTENT);
        finish(lastOfCaller || connection.draining());
    }

    /**
     * Breaks the connection off. An answer that was begun then can't look whole to the caller, as
     * its last chunk is missing.
     */
    public void abort() {
        if (over) {
            return;
        }
        over = true;
        request.release();
        connection.abort();
    }

    void callerGone() {
        if (over) {
            return;
        }
        over = true;
        gone.run();
        request.release();
    }

    void nowWritable() {
        if (!over) {
            writable.run();
        }
    }

    private boolean lastHeader(HttpHeaders headers) {
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
