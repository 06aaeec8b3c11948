package io.damaskyoke.peer;

import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.settings.PeerSettings;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Manages the links of this process to the other routers and agents.
 *
 * <p>{@code PeerNetwork network = PeerNetwork.builder()....build().start();
 * network.connect(address).thenAccept(link -> link.send(frame));}
 *
 * <p>All methods are thread-safe and none but {@link #start()} and {@link #close()} blocks.
 */
public final class PeerNetwork implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 3_000;
    private static final int STOP_TIMEOUT_SECONDS = 2;
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(256 * 1024, 1024 * 1024);

    private final PeerSettings settings;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final Metrics metrics;
    private final LinkRegistry events;
    private final ClockGuard guard;
    private final LinkHandler.Context context;
    private final EventLoopGroup group;
    private final boolean ownsThreads;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final ConcurrentMap<PeerAddress, Dialer> dialers = new ConcurrentHashMap<>();
    private volatile Channel server;
    private volatile boolean closed;

    PeerNetwork(PeerNetworkBuilder builder) {
        settings = builder.settings;
        ownsThreads = builder.group == null;
        group =
                ownsThreads
                        ? new MultiThreadIoEventLoopGroup(
                                builder.threads, NioIoHandler.newFactory())
                        : builder.group;
        clock = builder.clock;
        random = builder.random;
        metrics = builder.metrics;
        events = new LinkRegistry(builder.timeline, metrics);
        guard = new ClockGuard(builder.timeline.clock(), clock, metrics);
        context =
                new LinkHandler.Context(
                        builder.helloFrame(),
                        builder.heartbeat,
                        settings.heartbeat(),
                        settings.silence(),
                        settings.maxFrameBytes(),
                        guard,
                        events);
        builder.listeners.forEach(events::add);
    }

    /** Returns a builder; settings, hello and timeline must be given. */
    public static PeerNetworkBuilder builder() {
        return new PeerNetworkBuilder();
    }

    /**
     * Listens on the port of the settings; 0 lets the kernel choose one.
     *
     * @throws PeerException BIND_FAILED if the port is taken
     */
    public PeerNetwork start() {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                        .childHandler(inbound());
        ChannelFuture bound =
                bootstrap.bind(settings.host(), settings.port()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new PeerException(
                    PeerException.Code.BIND_FAILED,
                    "can't listen on " + settings.host() + ":" + settings.port(),
                    bound.cause());
        }
        server = bound.channel();
        channels.add(server);
        return this;
    }

    /** Returns the port listened on; call {@link #start()} first. */
    public int port() {
        if (server == null) {
            throw new IllegalStateException("call start() before port()");
        }
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Adds a listener, which is notified of all events from now on. */
    public PeerNetwork addListener(PeerListener listener) {
        events.add(listener);
        return this;
    }

    /**
     * Returns the single link of this process to that address, opened by this call if needed. Until
     * it is {@link PeerLink#open() open}, its {@code send} returns false; use {@link #connect} to
     * wait.
     */
    public PeerLink link(PeerAddress address) {
        return linkTo(address);
    }

    /**
     * Returns the same link once it is open, which may wait for the backoff after a failure. Fails
     * with a {@link PeerException} when the current attempt fails.
     */
    public CompletionStage<PeerLink> connect(PeerAddress address) {
        return linkTo(address).ready();
    }

    /** Closes and removes the link to an address, for VMs that left the platform's list. */
    public void forget(PeerAddress address) {
        Dialer dialer = dialers.remove(address);
        if (dialer != null) {
            dialer.close(closedLocally());
        }
    }

    /** Returns all open links, whichever side opened them. */
    public List<PeerLink> links() {
        return events.open();
    }

    /** Stops listening and closes all links; listeners are notified of each. */
    @Override
    public void close() {
        closed = true;
        dialers.values().forEach(dialer -> dialer.close(closedLocally()));
        channels.close().awaitUninterruptibly(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (ownsThreads) {
            group.shutdownGracefully(0, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .awaitUninterruptibly(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private NettyLink linkTo(PeerAddress address) {
        return dialers.computeIfAbsent(address, this::dialer).currentOrNewLink();
    }

    private Dialer dialer(PeerAddress address) {
        return new Dialer(
                clock,
                new Backoff(random),
                () -> newLink(Optional.of(address.vm())),
                (link, wait) -> connectAfter(wait, link, address));
    }

    private NettyLink newLink(Optional<VmId> expected) {
        return new NettyLink(expected, guard, settings.maxFrameBytes(), metrics);
    }

    private void connectAfter(Duration wait, NettyLink link, PeerAddress address) {
        try {
            group.schedule(() -> open(link, address), wait.toMillis(), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            link.end(closedLocally());
        }
    }

    private void open(NettyLink link, PeerAddress address) {
        if (closed) {
            link.end(closedLocally());
        }
        if (link.ended()) {
            return;
        }
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .handler(outbound(link))
                .connect(address.host(), address.port())
                .addListener(connected -> endIfFailed(link, address, connected.cause()));
    }

    private void endIfFailed(NettyLink link, PeerAddress address, Throwable cause) {
        if (cause == null) {
            return;
        }
        metrics.count("peer_connect_failed");
        link.end(
                new PeerException(
                        PeerException.Code.UNREACHABLE, "can't connect to " + address, cause));
    }

    private ChannelInitializer<Channel> inbound() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                prepare(channel, newLink(Optional.empty()));
            }
        };
    }

    private ChannelInitializer<Channel> outbound(NettyLink link) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                prepare(channel, link);
            }
        };
    }

    private void prepare(Channel channel, NettyLink link) {
        channels.add(channel);
        LinkPipeline.build(channel, link, context);
        if (closed || link.ended()) {
            channel.close();
        }
    }

    private static PeerException closedLocally() {
        return new PeerException(PeerException.Code.CLOSED, "closed by this process");
    }
}
