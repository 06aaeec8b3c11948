package io.damaskyoke.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * An HTTP/1.1 server on one address: {@code HttpServer.start(loop, endpoint, limits, handler)}.
 *
 * <p>The handler receives complete requests. Requests on one connection are handled one after the
 * other, so that their responses stay in order. The server belongs to one event loop.
 */
public final class HttpServer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(HttpServer.class);

    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int SWEEP_MILLIS = 250;

    /**
     * Callers reuse a connection up to its idle time; closing it a little later does not race with
     * a request.
     */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(1);

    /** The limit of reads of one connection in a read pass, so that others get their turn. */
    private static final int MAX_READS_PER_PASS = 16;

    private static final int MAX_ACCEPTS_PER_PASS = 1024;

    /**
     * Unread bytes of one connection down to which a paused sender waits. With a lower mark an
     * upstream would be paused for longer, and might cut its answer off.
     */
    private static final int RESUME_BYTES = UnreadResponses.MAX_PER_CONNECTION * 3 / 4;

    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(RESUME_BYTES, UnreadResponses.MAX_PER_CONNECTION);

    private final HttpLoop loop;
    private final HttpHandler handler;
    private final Set<ServerConnection> connections = new HashSet<>();
    private final UnreadConnections unread = new UnreadConnections();
    private final UnreadResponses unreadResponses = new UnreadResponses(LOG::warn);
    private BodyMemory bodies = new BodyMemory(Long.MAX_VALUE);
    private HttpLimits limits;
    private Channel channel;
    private boolean draining;
    private long abandonedRequests;
    private long refusedForMemory;

    private HttpServer(HttpLoop loop, HttpLimits limits, HttpHandler handler) {
        this.loop = loop;
        this.limits = limits;
        this.handler = handler;
    }

    /**
     * Starts a server that listens on the address; not to be called on the loop itself.
     *
     * @throws HttpException BIND_FAILED if the address can't be bound
     */
    public static HttpServer start(
            HttpLoop loop, InetSocketAddress at, HttpLimits limits, HttpHandler handler) {
        ServerSocketChannel socket = EarlySocket.listen(at);
        return loop.events()
                .submit(() -> adopt(loop, socket, limits, handler))
                .syncUninterruptibly()
                .getNow();
    }

    /**
     * Starts a server on a socket that is already listening, as the process opens it before
     * anything else; callers that connected meanwhile wait in its backlog. To be called on the
     * loop.
     */
    public static HttpServer adopt(
            HttpLoop loop, ServerSocketChannel open, HttpLimits limits, HttpHandler handler) {
        HttpServer server = new HttpServer(loop, limits, handler);
        server.channel = server.bootstrap(open).register().channel();
        loop.reads().beforeEachPass(server::admitUnread);
        loop.events()
                .scheduleWithFixedDelay(
                        server::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return server;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Changes the limits; size limits apply only to connections opened from now on. */
    public void limits(HttpLimits given) {
        limits = given;
    }

    /**
     * Changes how many bytes of responses may wait for callers, over all connections. Above it,
     * connections of callers that read slowly are closed.
     */
    public void maxUnread(long bytes) {
        unreadResponses.limit(bytes);
    }

    /** Sets what counts the bodies of requests, and limits them, from now on. */
    public void bodies(BodyMemory given) {
        bodies = given;
    }

    int maxBodyBytes() {
        return limits.bodyBytes();
    }

    BodyMemory bodies() {
        return bodies;
    }

    void refusedForMemory() {
        refusedForMemory++;
    }

    /** Returns the number of requests that were refused as there was no memory for their bodies. */
    public long refusedForMemoryCount() {
        return refusedForMemory;
    }

    /** Starts draining: from now on each response tells its caller that the connection closes. */
    public void drain() {
        draining = true;
    }

    /** Closes the connections that have carried no request for longer than {@code idle}. */
    public void closeIdle(Duration idle) {
        long now = System.nanoTime();
        snapshot().forEach(connection -> connection.closeIfIdle(now, idle.toNanos()));
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.size();
    }

    /** Stops accepting connections; open ones continue. */
    public void stopListening() {
        channel.close();
    }

    @Override
    public void close() {
        channel.close();
    }

    ReadPassHandler reads() {
        return loop.reads();
    }

    boolean draining() {
        return draining;
    }

    /** Passes a request to the handler, unless its caller has disconnected by then. */
    void handle(HttpCall call) {
        loop.runAfterRead(
                () -> {
                    if (call.over()) {
                        abandonedRequests++;
                    } else {
                        handler.handle(call);
                    }
                });
    }

    /** Returns the number of requests whose callers disconnected before they were handled. */
    public long abandonedRequests() {
        return abandonedRequests;
    }

    /** Returns the number of connections that were closed unread, as the thread was too busy. */
    public long connectionsClosedUnread() {
        return unread.closed();
    }

    /** Returns the number of bytes of responses that wait for callers, over all connections. */
    public long unreadBytes() {
        return unreadResponses.bytes();
    }

    /** Returns the number of connections that were closed as their callers read slowly. */
    public long slowReadersClosed() {
        return unreadResponses.closed();
    }

    UnreadResponses unreadResponses() {
        return unreadResponses;
    }

    void opened(ServerConnection connection) {
        connections.add(connection);
        unread.add(connection, System.nanoTime());
    }

    private void admitUnread(long busyNanos) {
        unread.admit(System.nanoTime(), busyNanos);
        if (unread.anyWaiting()) {
            // Keeps the next pass from sleeping until there are bytes to read.
            loop.events().execute(() -> {});
        }
    }

    void closed(ServerConnection connection) {
        connections.remove(connection);
    }

    private List<ServerConnection> snapshot() {
        return new ArrayList<>(connections);
    }

    private void sweep() {
        long now = System.nanoTime();
        long headerNanos = limits.headerTime().toNanos();
        long idleNanos = limits.idleTime().plus(IDLE_MARGIN).toNanos();
        snapshot().forEach(connection -> connection.enforceTimeLimits(now, headerNanos, idleNanos));
        unreadResponses.refresh(now);
    }

    private ServerBootstrap bootstrap(ServerSocketChannel socket) {
        return new ServerBootstrap()
                .group(loop.group())
                .channelFactory(() -> new NioServerSocketChannel(socket))
                .option(ChannelOption.RECVBUF_ALLOCATOR, acceptAll())
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmpty())
                .childHandler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel opened) {
                                build(opened);
                            }
                        });
    }

    // A connection that waits in the kernel's backlog can't be told from a new one.
    private static RecvByteBufAllocator acceptAll() {
        return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_PASS);
    }

    // By default a read that does not fill its buffer is the last one of its read pass. The
    // disconnect of a caller would then be known only a pass after its request.
    private static RecvByteBufAllocator readUntilEmpty() {
        var reads = new AdaptiveRecvByteBufAllocator();
        reads.maxMessagesPerRead(MAX_READS_PER_PASS);
        reads.respectMaybeMoreData(false);
        return reads;
    }

    private void build(Channel opened) {
        ServerConnection connection = new ServerConnection(this);
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(limits.headerBytes());
        opened.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext context, Object bytes) {
                                if (!isEmptyLines((ByteBuf) bytes)) {
                                    connection.requestBytesArrived();
                                }
                                context.fireChannelRead(bytes);
                            }
                        })
                .addLast(new StrictRequestDecoder(config))
                .addLast(new HttpResponseEncoder())
                .addLast(new ArrivingBodies(connection))
                .addLast(new OrderedAggregator(limits.bodyBytes(), connection))
                .addLast(connection);
    }

    // Some callers send an empty line after a body; it begins no request.
    private static boolean isEmptyLines(ByteBuf bytes) {
        return bytes.forEachByte(each -> each == '\r' || each == '\n') < 0;
    }
}
