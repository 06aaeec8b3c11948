package io.damaskyoke.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;

/** A connection of the client to a server, which carries at most one request at a time. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /**
     * The longest body of a response to another request that is received and discarded. Longer ones
     * would take the thread's time until the request's deadline.
     */
    private static final int MAX_SKIPPED_BYTES = 4 * 1024 * 1024;

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private static final int MAX_LINE_BYTES = 16 * 1024;
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    private final HttpClient client;
    private final Endpoint endpoint;
    private final long number;
    private final StrictResponseDecoder decoder =
            new StrictResponseDecoder(
                    new HttpDecoderConfig()
                            .setMaxInitialLineLength(MAX_LINE_BYTES)
                            .setMaxHeaderSize(MAX_HEADER_BYTES),
                    this::awaitsBodiless);
    private final CarriedRequests carried = new CarriedRequests();
    private Channel channel;
    private State state = State.CONNECTING;
    private ClientRequest request;
    private ResponseListener listener;
    private boolean keepAlive;
    private long keepAliveNanos = KeepAliveTimeout.DEFAULT_NANOS;
    private long idleSince;
    private int answerNumber;
    private int skippedBytes;
    private long bodyBytes;
    private ChannelFuture written;
    private boolean endsWithConnection;

    private enum State {
        CONNECTING,
        /** The request is written; its response has not begun. */
        AWAITING,
        /** A response to another request is being received and discarded. */
        SKIPPING,
        /** The response is being received. */
        READING,
        IDLE,
        CLOSED
    }

    ClientConnection(HttpClient client, Endpoint endpoint, long number) {
        this.client = client;
        this.endpoint = endpoint;
        this.number = number;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    StrictResponseDecoder decoder() {
        return decoder;
    }

    boolean open() {
        return state == State.IDLE && channel.isActive();
    }

    boolean usable(long now, Duration limit) {
        long idle = now - idleSince;
        return idle < keepAliveNanos && idle < limit.toNanos();
    }

    boolean expired(long now) {
        return now - idleSince >= keepAliveNanos;
    }

    /** Returns true if the response to the request could be told from those to earlier ones. */
    boolean mayCarry(ClientRequest next) {
        return !next.needsOwnConnection() && carried.mayAdd(next.match());
    }

    private boolean awaitsBodiless() {
        return request != null && request.isBodiless();
    }

    ClientCall begin(ClientRequest given, ResponseListener responseListener) {
        request = given;
        listener = responseListener;
        carried.add(given.match());
        if (state == State.IDLE) {
            write();
        }
        return new Call(carried.count());
    }

    void connectFailed() {
        if (state == State.CONNECTING) {
            request.body().release();
            fail(ExchangeFailure.NOT_CONNECTED);
        }
    }

    void close() {
        state = State.CLOSED;
        if (channel != null) {
            stopDecoding();
            channel.close();
        }
    }

    // The decoder would go on with all bytes that were read together, perhaps thousands of chunks.
    private void stopDecoding() {
        if (channel.pipeline().context(decoder) != null) {
            channel.pipeline().remove(decoder);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        if (state == State.CLOSED) {
            channel.close();
            return;
        }
        // Connecting may have taken a while; the caller may have canceled the request meanwhile.
        client.runAfterRead(this::writeIfWanted);
    }

    private void writeIfWanted() {
        if (state == State.CONNECTING) {
            write();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!isRequestWritten() || !(message instanceof HttpObject)) {
            // Bytes that answer no request must not be taken for the response to a later one.
            ReferenceCountUtil.release(message);
            closeAfterUnrequestedBytes();
            return;
        }
        HttpObject object = (HttpObject) message;
        if (object.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            fail(state == State.READING ? ExchangeFailure.CUT_SHORT : ExchangeFailure.GARBLED);
            return;
        }
        if (message instanceof HttpResponse response) {
            head(response);
        }
        if (message instanceof HttpContent content) {
            part(content);
        }
    }

    // The beginning of an extra response would wait in the decoder for the next response.
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!isRequestWritten() && decoder.holdsBytes()) {
            closeAfterUnrequestedBytes();
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connectFailed();
        connectionEnded();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        connectionEnded();
        context.close();
    }

    private boolean isRequestWritten() {
        return state == State.AWAITING || state == State.SKIPPING || state == State.READING;
    }

    private void closeAfterUnrequestedBytes() {
        if (state != State.CLOSED) {
            recordUnmatched(UnmatchedAnswer.NO_REQUEST);
        }
        connectFailed();
        discard();
    }

    private void write() {
        HttpHeaders headers = request.headers();
        if (!listener.beforeSend(headers)) {
            request.body().release();
            listener = null;
            close();
            return;
        }
        state = State.AWAITING;
        keepAlive = !request.needsOwnConnection() && !carried.isFull();
        headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        written =
                channel.writeAndFlush(
                        new DefaultFullHttpRequest(
                                HttpVersion.HTTP_1_1,
                                request.method(),
                                request.path(),
                                request.body(),
                                headers,
                                EmptyHttpHeaders.INSTANCE));
    }

    private void head(HttpResponse response) {
        int status = response.status().code();
        if (status < 200) {
            return;
        }
        answerNumber++;
        endsWithConnection = endsWithConnection(response);
        HttpHeaders headers = response.headers();
        if (!HttpUtil.isKeepAlive(response)) {
            keepAlive = false;
        }
        if (!request.match().isNamed(headers)) {
            // The connection is closed after this request: its server names no requests, or has
            // sent an extra response.
            keepAlive = false;
            boolean unnamed = request.match().isUnnamed(headers);
            if (!unnamed || carried.count() > 1) {
                skip(unnamed ? UnmatchedAnswer.UNNAMED : UnmatchedAnswer.OTHER_REQUEST);
                if (endsWithConnection) {
                    fail(ExchangeFailure.GARBLED);
                }
                return;
            }
        }
        keepAliveNanos = KeepAliveTimeout.nanos(headers.get("Keep-Alive"), keepAliveNanos);
        state = State.READING;
        bodyBytes = 0;
        listener.head(status, headers);
    }

    // Nothing that comes after such a response can be told from its body.
    private boolean endsWithConnection(HttpResponse response) {
        int status = response.status().code();
        return !awaitsBodiless()
                && status != NO_CONTENT
                && status != NOT_MODIFIED
                && !HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response);
    }

    private void skip(UnmatchedAnswer reason) {
        recordUnmatched(reason);
        state = State.SKIPPING;
        skippedBytes = 0;
    }

    private void recordUnmatched(UnmatchedAnswer reason) {
        client.unmatchedAnswers().record(endpoint, reason, place());
    }

    private AnswerPlace place() {
        return new AnswerPlace(number, carried.count(), answerNumber);
    }

    private void part(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (state != State.READING) {
            skip(content, last);
            return;
        }
        bodyBytes += content.content().readableBytes();
        if (bodyBytes > listener.maxBodyBytes()) {
            content.release();
            fail(ExchangeFailure.TOO_LARGE);
            return;
        }
        if (content.content().isReadable()) {
            listener.part(content.content());
        } else {
            content.release();
        }
        if (last && state == State.READING) {
            endBody();
        }
    }

    // A server that resets the connection may fail the request's write, which closes the connection
    // here just as the end of the response would. While the request is not written, such an end
    // doesn't tell that the response is complete.
    private void endBody() {
        if (endsWithConnection && !written.isSuccess()) {
            fail(ExchangeFailure.CUT_SHORT);
        } else {
            finish();
        }
    }

    private void skip(HttpContent content, boolean last) {
        skippedBytes += content.content().readableBytes();
        content.release();
        if (state != State.SKIPPING) {
            return;
        }
        if (skippedBytes > MAX_SKIPPED_BYTES) {
            fail(ExchangeFailure.GARBLED);
        } else if (last) {
            state = State.AWAITING;
        }
    }

    private void finish() {
        ResponseListener notified = listener;
        listener = null;
        request = null;
        if (decoder.holdsBytes()) {
            recordUnmatched(UnmatchedAnswer.NO_REQUEST);
            keepAlive = false;
        }
        if (keepAlive && channel.isActive() && notified.mayReuseConnection()) {
            state = State.IDLE;
            idleSince = client.nanoTime();
            channel.config().setAutoRead(true);
            client.addIdle(this);
        } else {
            close();
        }
        notified.end();
    }

    private void connectionEnded() {
        if (state == State.IDLE) {
            discard();
        } else if (state == State.READING) {
            fail(ExchangeFailure.CUT_SHORT);
        } else if (state == State.AWAITING || state == State.SKIPPING) {
            fail(ExchangeFailure.BROKEN);
        }
    }

    private void discard() {
        if (state == State.IDLE) {
            client.removeIdle(this);
        }
        close();
    }

    private void fail(ExchangeFailure failure) {
        ResponseListener notified = listener;
        listener = null;
        close();
        if (notified != null) {
            notified.failed(failure);
        }
    }

    /** The caller's handle of one request; it does nothing once the request is over. */
    private final class Call implements ClientCall {
        private final int ownNumber;

        Call(int ownNumber) {
            this.ownNumber = ownNumber;
        }

        @Override
        public void cancel() {
            if (!current()) {
                return;
            }
            if (state == State.CONNECTING) {
                request.body().release();
            }
            listener = null;
            close();
        }

        @Override
        public void reading(boolean wanted) {
            if (current() && channel != null) {
                channel.config().setAutoRead(wanted);
            }
        }

        @Override
        public AnswerPlace place() {
            return ClientConnection.this.place();
        }

        private boolean current() {
            return ownNumber == carried.count() && state != State.IDLE && state != State.CLOSED;
        }
    }
}
