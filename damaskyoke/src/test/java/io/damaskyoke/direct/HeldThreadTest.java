package io.damaskyoke.direct;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.direct.Route;
import io.damaskyoke.control.direct.RouteKind;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.http.HttpCall;
import io.damaskyoke.http.HttpClient;
import io.damaskyoke.http.HttpLimits;
import io.damaskyoke.http.HttpLoop;
import io.damaskyoke.http.HttpServer;
import io.damaskyoke.metrics.Metrics;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What becomes of waiting requests while a router's thread is held. */
class HeldThreadTest {
    private static final String SERVICE = "service";
    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final HttpLoop loop = HttpLoop.start();
    private final HttpLoop upstreamLoop = HttpLoop.start();
    private final List<String> reached = new CopyOnWriteArrayList<>();
    private final Map<String, HttpCall> running = new ConcurrentHashMap<>();
    private final TestDialect dialect = new TestDialect();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final Flows flows =
            new Flows(
                    dialect,
                    new HttpClient(loop, LIMIT, new Metrics()),
                    new Dispatch(
                            upstreams,
                            "a",
                            Map.of(),
                            Instant::now,
                            loop::whenRead,
                            (upstream, all) -> (int) all),
                    Instant::now,
                    new Flows.RetryBounds(Duration.ofSeconds(10), 0.2, 10),
                    () -> 1,
                    new PoisonRequestDetector(
                            new LoopControl(
                                    loop.events(),
                                    InstantSource.system(),
                                    new LoopHolds(new Metrics())),
                            new SilentCrashAnnouncer(),
                            (upstream, vouch, then) ->
                                    then.accept(UpstreamCrashDetector.ProbeResult.UNKNOWN),
                            () -> true,
                            () -> true,
                            new Metrics()),
                    new LostUpstreams(Instant::now, upstreams, new SilentWire()),
                    new DeclaredLimits(Instant::now, upstreams, new SilentLimits()));
    private final HttpServer upstream = server(upstreamLoop, this::run);
    private final HttpServer router = server(loop, this::begin);

    @AfterEach
    void stop() {
        loop.close();
        upstreamLoop.close();
    }

    // Guards against a request that is sent on in the midst of reading: an answer frees a place for
    // it, and the end of its own caller is read only after that.
    @Test
    void aPlaceThatComesFreeIsNotGivenToACallerThatHasLeft() throws Exception {
        list(upstream.port());
        Socket first = send("/first");
        Socket second = send("/second");
        Socket third = send("/third");
        await().atMost(LIMIT).until(() -> reached.size() == 2 && open() == 3);

        CountDownLatch hold = hold();
        answer("/first");
        third.close();
        hold.countDown();

        Socket fourth = send("/fourth");
        await().atMost(LIMIT).until(() -> reached.contains("/fourth"));
        assertEquals(Set.of("/first", "/second", "/fourth"), Set.copyOf(reached));
        for (Socket each : List.of(first, second, fourth)) {
            each.close();
        }
    }

    // Guards against a request that is written when its connection opens, though its caller has
    // left
    // while the connection was being opened.
    @Test
    void aConnectionThatOpensForACallerThatHasLeftCarriesNothing() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // Two connections wait to be accepted; the router's attempt is not answered meanwhile.
            Socket one = new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort());
            Socket two = new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort());
            list(full.getLocalPort());
            Socket caller = send("/first");
            await().atMost(LIMIT).until(() -> open() == 1);

            CountDownLatch hold = hold();
            full.accept().close();
            full.accept().close();
            Socket router = full.accept();
            caller.close();
            hold.countDown();

            router.setSoTimeout((int) LIMIT.toMillis());
            assertEquals(-1, router.getInputStream().read(), "bytes reached the upstream");
            one.close();
            two.close();
        }
    }

    // Guards against a request that is written when its connection opens, though the zone was
    // closed
    // while the connection was being opened.
    @Test
    void aConnectionThatOpensIntoAClosedZoneCarriesNothing() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Socket one = new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort());
            Socket two = new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort());
            list(full.getLocalPort());
            Socket caller = send("/first");
            await().atMost(LIMIT).until(() -> open() == 1);

            CountDownLatch hold = hold();
            loop.events().execute(() -> upstreams.zones().drain("a", Instant.MIN));
            full.accept().close();
            full.accept().close();
            Socket router = full.accept();
            hold.countDown();

            router.setSoTimeout((int) LIMIT.toMillis());
            assertEquals(-1, router.getInputStream().read(), "bytes reached the upstream");
            caller.setSoTimeout((int) LIMIT.toMillis());
            String answer = new String(caller.getInputStream().readNBytes(12), UTF_8);
            assertEquals("HTTP/1.1 503", answer);
            caller.close();
            one.close();
            two.close();
        }
    }

    // An upstream with one slot gets two requests at once; others wait in the router.
    private void list(int port) {
        UpstreamFacts facts =
                new UpstreamFacts(
                        UpstreamId.of("i-1"),
                        1,
                        SERVICE,
                        new Endpoint("127.0.0.1", port),
                        "a",
                        1,
                        false,
                        Duration.ZERO,
                        new HeldModels(1, HeldModels.UNKNOWN_SEQUENCE, Map.of()),
                        Set.of(),
                        Set.of());
        loop.events().submit(() -> upstreams.put(facts, Instant.now())).syncUninterruptibly();
    }

    private void begin(HttpCall call) {
        Route route =
                new Route(
                        "route",
                        "host",
                        "/",
                        RouteKind.NON_IDEMPOTENT,
                        LIMIT,
                        Duration.ofSeconds(1),
                        Optional.empty(),
                        1,
                        1,
                        true,
                        false,
                        AllowedRegions.ANYWHERE,
                        List.of(new Route.Target(SERVICE, 1)));
        Flow.Admitted admitted =
                new Flow.Admitted(
                        Optional.empty(),
                        AllowedRegions.ANYWHERE,
                        1,
                        Instant.now(),
                        Duration.ZERO,
                        0,
                        () -> {});
        flows.begin(
                new Flow(flows, call, dialect.request(call.headers()), route, SERVICE, admitted));
    }

    private void run(HttpCall call) {
        reached.add(call.target());
        running.put(call.target(), call);
    }

    private void answer(String target) {
        upstreamLoop
                .events()
                .submit(
                        () ->
                                running.get(target)
                                        .answer(
                                                200,
                                                new DefaultHttpHeaders(),
                                                Unpooled.EMPTY_BUFFER))
                .syncUninterruptibly();
    }

    private int open() {
        return loop.events().submit(flows::size).syncUninterruptibly().getNow();
    }

    private CountDownLatch hold() throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch hold = new CountDownLatch(1);
        loop.events()
                .execute(
                        () -> {
                            held.countDown();
                            try {
                                hold.await(LIMIT.toMillis(), TimeUnit.MILLISECONDS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        held.await();
        return hold;
    }

    private Socket send(String path) throws IOException {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), router.port());
        String request = "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
        caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    private static final class SilentLimits implements DeclaredLimits.Announcer {
        @Override
        public void announceLimit(DeclaredLimits.Announcement word) {}

        @Override
        public void forwardLimit(DeclaredLimits.Announcement word) {}
    }

    /** No other router is there to be told. */
    private static final class SilentWire implements LostUpstreams.Wire {
        @Override
        public void tellLost(UpstreamId upstream, long startedAt) {}

        @Override
        public void passLostOn(UpstreamId upstream, long startedAt) {}
    }

    private static HttpServer server(HttpLoop loop, io.damaskyoke.http.HttpHandler handler) {
        return HttpServer.start(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                HttpLimits.usual(),
                handler);
    }
}
