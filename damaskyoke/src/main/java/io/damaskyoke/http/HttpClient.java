package io.damaskyoke.http;

import io.damaskyoke.metrics.Metrics;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * An HTTP client with a connection pool: {@code client.send(endpoint, request, listener)}.
 *
 * <p>A connection carries one request at a time, and returns to the pool only after a complete
 * response that neither side marked as the last. A connection that receives bytes while idle is
 * closed, since they belong to no request. The client belongs to one event loop and is used only
 * there.
 */
public final class HttpClient {
    private static final int MAX_IDLE_PER_ENDPOINT = 32;
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(32 * 1024, 128 * 1024);

    private final ConnectionOpener opener;
    private final Executor afterRead;
    private final LongSupplier nanoTime;
    private final Metrics metrics;
    private final Map<Endpoint, ArrayDeque<ClientConnection>> idle = new HashMap<>();
    private final UnmatchedAnswers unmatchedAnswers;
    private long connectionCount;

    /** Creates a client on the loop that abandons a connection attempt after the timeout. */
    public HttpClient(HttpLoop loop, Duration connectTimeout, Metrics metrics) {
        this(sockets(loop, connectTimeout), loop::runAfterRead, System::nanoTime, metrics);
    }

    /**
     * Creates a client of other connections.
     *
     * @param afterRead runs steps once all connections have been read recently
     * @param nanoTime the current time in nanoseconds since any moment
     */
    HttpClient(
            ConnectionOpener opener, Executor afterRead, LongSupplier nanoTime, Metrics metrics) {
        this.opener = opener;
        this.afterRead = afterRead;
        this.nanoTime = nanoTime;
        this.metrics = metrics;
        this.unmatchedAnswers = new UnmatchedAnswers(metrics);
    }

    private static ConnectionOpener sockets(HttpLoop loop, Duration connectTimeout) {
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(loop.group())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) connectTimeout.toMillis());
        return (to, handler) -> bootstrap.clone().handler(handler).connect(to.socket());
    }

    /** Sends the request over a pooled or a new connection; the listener receives the response. */
    public ClientCall send(Endpoint to, ClientRequest request, ResponseListener listener) {
        ClientConnection kept = kept(to, request);
        if (kept != null) {
            return kept.begin(request, listener);
        }
        metrics.count("http_connects");
        ClientConnection fresh = new ClientConnection(this, to, ++connectionCount);
        ClientCall call = fresh.begin(request, listener);
        opener.open(to, pipeline(fresh))
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                fresh.connectFailed();
                            }
                        });
        return call;
    }

    /** Returns true if the pool has an open idle connection to the server. */
    public boolean hasIdleConnection(Endpoint server) {
        ArrayDeque<ClientConnection> connections = idle.get(server);
        return connections != null && connections.stream().anyMatch(ClientConnection::open);
    }

    /**
     * Probes a server by connecting to it without sending anything. Passes true if the connection
     * was accepted, false if it was refused, or empty if neither happened in time.
     */
    public void probe(Endpoint server, Consumer<Optional<Boolean>> then) {
        metrics.count("http_connects");
        opener.open(server, new ChannelInboundHandlerAdapter())
                .addListener((ChannelFuture done) -> then.accept(probeResult(done)));
    }

    private static Optional<Boolean> probeResult(ChannelFuture done) {
        if (done.isSuccess()) {
            done.channel().close();
            return Optional.of(true);
        }
        boolean refused =
                done.cause() instanceof ConnectException
                        && !(done.cause() instanceof ConnectTimeoutException);
        return refused ? Optional.of(false) : Optional.empty();
    }

    /** Closes the idle connections to a server that is gone or no longer trusted. */
    public void closeIdle(Endpoint gone) {
        unmatchedAnswers.forget(gone);
        ArrayDeque<ClientConnection> connections = idle.remove(gone);
        if (connections != null) {
            connections.forEach(ClientConnection::close);
        }
    }

    /** Closes the idle connections whose keep-alive time has expired; to be called regularly. */
    public void closeExpired() {
        long now = nanoTime();
        for (ArrayDeque<ClientConnection> connections : idle.values()) {
            Iterator<ClientConnection> each = connections.iterator();
            while (each.hasNext()) {
                ClientConnection connection = each.next();
                if (connection.expired(now)) {
                    each.remove();
                    connection.close();
                }
            }
        }
        idle.values().removeIf(ArrayDeque::isEmpty);
    }

    /** Runs a step once all connections have been read recently. */
    void runAfterRead(Runnable step) {
        afterRead.execute(step);
    }

    long nanoTime() {
        return nanoTime.getAsLong();
    }

    UnmatchedAnswers unmatchedAnswers() {
        return unmatchedAnswers;
    }

    void addIdle(ClientConnection connection) {
        ArrayDeque<ClientConnection> kept =
                idle.computeIfAbsent(connection.endpoint(), any -> new ArrayDeque<>());
        if (kept.size() >= MAX_IDLE_PER_ENDPOINT) {
            connection.close();
        } else {
            kept.addFirst(connection);
        }
    }

    void removeIdle(ClientConnection connection) {
        ArrayDeque<ClientConnection> kept = idle.get(connection.endpoint());
        if (kept != null) {
            kept.remove(connection);
        }
    }

    // The most recently used one comes first: the server is the least likely to close it.
    private ClientConnection kept(Endpoint to, ClientRequest request) {
        ArrayDeque<ClientConnection> connections = idle.get(to);
        if (connections == null) {
            return null;
        }
        long now = nanoTime();
        Iterator<ClientConnection> each = connections.iterator();
        while (each.hasNext()) {
            ClientConnection next = each.next();
            if (!next.usable(now, request.idleLimit())) {
                return null;
            }
            if (!next.open()) {
                each.remove();
            } else if (next.mayCarry(request)) {
                each.remove();
                return next;
            }
        }
        return null;
    }

    private static ChannelInitializer<Channel> pipeline(ClientConnection connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(connection.decoder());
                channel.pipeline().addLast(new HttpRequestEncoder());
                channel.pipeline().addLast(connection);
            }
        };
    }
}
