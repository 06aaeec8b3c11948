package io.damaskyoke.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Serves HTTP/1.1 on one address: {@code HttpServer.start(loop, endpoint, limits, handler)}.
 *
 * <p>A request reaches the handler whole. Requests on one connection are handled one after the
 * other, so answers can't change places. Belongs to one loop.
 */
public final class HttpServer implements AutoCloseable {
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int SWEEP_MILLIS = 250;

    /** Callers use a connection up to its idle time; closing it a little later crosses nothing. */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(1);

    /** Of one connection; others are waiting for theirs. */
    private static final int READS_A_TURN = 16;

    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(32 * 1024, 128 * 1024);

    private final HttpLoop loop;
    private final HttpHandler handler;
    private final Set<ServerConnection> connections = new HashSet<>();
    private HttpLimits limits;
    private Channel channel;
    private boolean draining;
    private long leftUnserved;

    private HttpServer(HttpLoop loop, HttpLimits limits, HttpHandler handler) {
        this.loop = loop;
        this.limits = limits;
        this.handler = handler;
    }

    /**
     * Listens at once; not to be called on the loop itself.
     *
     * @throws HttpException BIND_FAILED if the address is taken
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
     * Serves what connects to a socket that listens already, as the process opened it before
     * anything else: callers that came meanwhile wait in its queue. To be called on the loop.
     */
    public static HttpServer adopt(
            HttpLoop loop, ServerSocketChannel open, HttpLimits limits, HttpHandler handler) {
        HttpServer server = new HttpServer(loop, limits, handler);
        server.channel = server.bootstrap(open).register().channel();
        loop.events()
                .scheduleWithFixedDelay(
                        server::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return server;
    }

    /** The port listened on. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Changes the limits; those of size for connections that come from now on. */
    public void limits(HttpLimits given) {
        limits = given;
    }

    /** From now on each answer tells its caller that it was the connection's last. */
    public void drain() {
        draining = true;
    }

    /** Closes connections that carry nothing and have not for this long. */
    public void closeIdle(Duration idle) {
        long now = System.nanoTime();
        snapshot().forEach(connection -> connection.closeIfIdle(now, idle.toNanos()));
    }

    /** Connections that are open. */
    public int connections() {
        return connections.size();
    }

    /** Takes no new connections; those that are open go on. */
    public void stopListening() {
        channel.close();
    }

    @Override
    public void close() {
        channel.close();
    }

    SocketReads reads() {
        return loop.reads();
    }

    boolean draining() {
        return draining;
    }

    /** Hands a request to the handler, unless its caller has left by then. */
    void handle(HttpCall call) {
        loop.whenRead(
                () -> {
                    if (call.over()) {
                        leftUnserved++;
                    } else {
                        handler.handle(call);
                    }
                });
    }

    /** Requests whose callers had left before they could be served. */
    public long leftUnserved() {
        return leftUnserved;
    }

    void opened(ServerConnection connection) {
        connections.add(connection);
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
        snapshot().forEach(connection -> connection.check(now, headerNanos, idleNanos));
    }

    private ServerBootstrap bootstrap(ServerSocketChannel socket) {
        return new ServerBootstrap()
                .group(loop.group())
                .channelFactory(() -> new NioServerSocketChannel(socket))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, toTheEnd())
                .childHandler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel opened) {
                                build(opened);
                            }
                        });
    }

    // As a rule a read that leaves room in its buffer is the last one of its turn. The end of a
    // caller that has left would then be known a turn after its request.
    private static RecvByteBufAllocator toTheEnd() {
        var reads = new AdaptiveRecvByteBufAllocator();
        reads.maxMessagesPerRead(READS_A_TURN);
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
                                connection.arriving();
                                context.fireChannelRead(bytes);
                            }
                        })
                .addLast(new StrictRequestDecoder(config))
                .addLast(new HttpResponseEncoder())
                .addLast(new HttpObjectAggregator(limits.bodyBytes()))
                .addLast(connection);
    }
}
