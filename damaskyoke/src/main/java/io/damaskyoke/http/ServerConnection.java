package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** A connection of a caller to the server, which handles its requests one after the other. */
final class ServerConnection extends ChannelInboundHandlerAdapter
        implements UnreadConnections.Unread, UnreadResponses.Reader {
    /** The limit of pipelined requests; bytes beyond it stay in the kernel. */
    private static final int MAX_PIPELINED = 4;

    /**
     * The time for which a refused caller may go on sending. A close before that might reset the
     * connection, and the caller would lose the refusal. One that was refused in the middle of a
     * large body may need all the time that a request may take.
     */
    private static final long REFUSED_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** When to retry a request that had no room in memory: those in memory take about a second. */
    private static final int RETRY_AFTER_SECONDS = 1;

    private final HttpServer server;
    private final ArrayDeque<FullHttpRequest> pipelined = new ArrayDeque<>();

    /** The bodies of the call, of the pipelined requests and of the one that arrives. */
    private final ArrayDeque<BodyMemory.Body> bodies = new ArrayDeque<>();

    private Channel channel;
    private HttpCall call;
    private long openedNanos;
    private long firstReadPass;
    private boolean anyRequestArrived;
    private long arrivingSince;
    private long idleSince = System.nanoTime();
    private boolean refused;
    private HttpResponseStatus pendingRefusal;
    private long refusalSentNanos;
    private boolean refusedForMemory;
    private long takenBytes;

    ServerConnection(HttpServer server) {
        this.server = server;
    }

    boolean writable() {
        return channel.isWritable();
    }

    boolean draining() {
        return server.draining();
    }

    boolean busy() {
        return call != null || arrivingSince != 0 || !pipelined.isEmpty();
    }

    /** Returns true if a request awaits its response. */
    boolean anyCall() {
        return call != null || !pipelined.isEmpty();
    }

    /** Records the arrival of a request's first bytes; called before the decoder reads them. */
    void requestBytesArrived() {
        if (arrivingSince == 0 && !refused) {
            arrivingSince = arrivalNanos();
            anyRequestArrived = true;
        }
    }

    // A request that is found in the first pass that reads a new connection may have arrived
    // together with it, before a stall or while the connection waited to be read.
    private long arrivalNanos() {
        ReadPassHandler reads = server.reads();
        boolean withConnection = !anyRequestArrived && reads.passCount() <= firstReadPass;
        return withConnection ? openedNanos : reads.arrivalNanos();
    }

    boolean isRefused() {
        return refused;
    }

    /**
     * Records the head of a request with a body of that length, 0 if it is not known. Returns false
     * if there is no memory for it, and refuses it. A body that is too large is refused later.
     */
    boolean bodyBegins(long length) {
        if (length <= server.maxBodyBytes() && !server.bodies().hasRoomFor(length)) {
            refuseForMemory();
            return false;
        }
        bodies.add(server.bodies().request(this::refuseForMemory));
        return true;
    }

    /** Records bytes of the body that arrives. Returns false if the request is refused for them. */
    boolean bodyReceived(int bytes, boolean last) {
        BodyMemory.Body body = bodies.peekLast();
        if (body == null) {
            return true;
        }
        if (!body.add(bytes)) {
            refuseForMemory();
            return false;
        }
        if (last) {
            body.complete();
        }
        return true;
    }

    // Without the aggregator nothing holds the bytes that have come, and what follows is dropped.
    private void refuseForMemory() {
        refusedForMemory = true;
        server.refusedForMemory();
        if (channel.pipeline().get(OrderedAggregator.class) != null) {
            channel.pipeline().remove(OrderedAggregator.class);
        }
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    private void releaseBodies() {
        bodies.forEach(BodyMemory.Body::release);
        bodies.clear();
    }

    private void releaseFirstBody() {
        BodyMemory.Body first = bodies.poll();
        if (first != null) {
            first.release();
        }
    }

    /**
     * Enforces the time limits: answers an incomplete request with 408, closes an idle connection.
     */
    void enforceTimeLimits(long now, long headerNanos, long idleNanos) {
        long refusedNanos = refusedForMemory ? headerNanos : REFUSED_NANOS;
        if (refusalSentNanos != 0 && now - refusalSentNanos > refusedNanos) {
            channel.close();
        } else if (call == null && arrivingSince != 0 && now - arrivingSince > headerNanos) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (!busy() && now - idleSince > idleNanos) {
            channel.close();
        }
    }

    void closeIfIdle(long now, long idleNanos) {
        if (!busy() && now - idleSince > idleNanos) {
            channel.close();
        }
    }

    void send(Object message) {
        long before = pendingBytes();
        ChannelFuture written = channel.write(message);
        long size = pendingBytes() - before;
        channel.flush();
        if (!written.isDone()) {
            written.addListener(ended -> taken(size));
            server.unreadResponses().written(this, size, System.nanoTime());
        }
    }

    /** Sends a part of a body at once and takes ownership of the buffer. */
    void sendPart(ByteBuf data) {
        send(new DefaultHttpContent(pendingBytes() > 0 ? copy(data) : data));
    }

    // A part is often a small slice of the buffer that it was read into. A slice that waits would
    // hold all of that buffer in memory, though only the slice is counted.
    private ByteBuf copy(ByteBuf data) {
        ByteBuf copy = channel.alloc().directBuffer(data.readableBytes()).writeBytes(data);
        data.release();
        return copy;
    }

    private void taken(long size) {
        takenBytes += size;
        server.unreadResponses().taken(this, size, System.nanoTime());
    }

    private long pendingBytes() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending == null ? 0 : pending.totalPendingWriteBytes();
    }

    // The size of a message that is partly written counts as pending until the rest is written, as
    // its buffer is held until then.
    @Override
    public long takenBytes() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending == null ? takenBytes : takenBytes + pending.currentProgress();
    }

    @Override
    public void closeSlow() {
        channel.close();
    }

    void finished(boolean close) {
        call = null;
        releaseFirstBody();
        idleSince = System.nanoTime();
        if (close) {
            refused = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        if (!pipelined.isEmpty()) {
            begin(pipelined.remove());
        } else if (pendingRefusal != null) {
            sendRefusal(pendingRefusal);
        }
        channel.config().setAutoRead(true);
    }

    void abort() {
        call = null;
        refused = true;
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        openedNanos = server.reads().arrivalNanos();
        server.opened(this);
    }

    @Override
    public void startReading() {
        firstReadPass = server.reads().passCount();
        channel.config().setAutoRead(true);
    }

    @Override
    public void closeUnread() {
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (refused || !(message instanceof FullHttpRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            request.release();
            refuse(statusOf(cause));
            return;
        }
        if (call == null && pipelined.isEmpty()) {
            begin(request);
            return;
        }
        pipelined.add(request);
        if (pipelined.size() >= MAX_PIPELINED) {
            channel.config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (call != null && channel.isWritable()) {
            call.becameWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.closed(this);
        releaseBodies();
        pipelined.forEach(FullHttpRequest::release);
        pipelined.clear();
        HttpCall open = call;
        call = null;
        if (open != null) {
            open.callerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private void begin(FullHttpRequest request) {
        long since = arrivingSince == 0 ? System.nanoTime() : arrivingSince;
        arrivingSince = 0;
        call = new HttpCall(this, request, since);
        server.handle(call);
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException
                || cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    /**
     * Answers a request that can't be handled, after the responses to those before it, and ignores
     * the bytes that follow it: they might be taken for a request of their own.
     */
    void refuse(HttpResponseStatus status) {
        if (refused) {
            return;
        }
        refused = true;
        arrivingSince = 0;
        if (anyCall()) {
            pendingRefusal = status;
        } else {
            sendRefusal(status);
        }
    }

    private void sendRefusal(HttpResponseStatus status) {
        var answer =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            answer.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        channel.writeAndFlush(answer);
        refusalSentNanos = System.nanoTime();
    }
}
