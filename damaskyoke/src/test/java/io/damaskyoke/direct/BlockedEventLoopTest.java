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
import io.damaskyoke.direct.crashes.PoisonRequestDetector;
import io.damaskyoke.direct.crashes.SilentCrashAnnouncer;
import io.damaskyoke.direct.crashes.UpstreamCrashDetector;
import io.damaskyoke.http.BodyMemory;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.http.HttpCall;
import io.damaskyoke.http.HttpClient;
import io.damaskyoke.http.HttpLimits;
import io.damaskyoke.http.HttpLoop;
import io.damaskyoke.http.HttpServer;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.settings.DirectSettings;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
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

/** Tests what happens to waiting requests whose caller leaves while the event loop is blocked. */
class BlockedEventLoopTest {
    private static final String SERVICE = "service";
    private static final UpstreamId ID = UpstreamId.of("i-1");
    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final HttpLoop loop = HttpLoop.start();
    private final HttpLoop upstreamLoop = HttpLoop.start();
    private final List<String> reached = new CopyOnWriteArrayList<>();
    private final Map<String, HttpCall> running = new ConcurrentHashMap<>();
    private final TestDialect dialect = new TestDialect();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final InFlightRequests flows =
            new InFlightRequests(
                    dialect,
                    new HttpClient(loop, LIMIT, new Metrics()),
                    new UpstreamDispatcher(
                            upstreams,
                            "a",
                            Map.of(),
                            Instant::now,
                            loop::runAfterRead,
                            (upstream, all) -> (int) all),
                    Instant::now,
                    Instant::now,
                    new InFlightRequests.RetryBounds(Duration.ofSeconds(10), 0.2, 10),
                    () -> 1,
                    new PoisonRequestDetector(
                            new EventLoopControlThread(
                                    loop.events(), InstantSource.system(), new Metrics()),
                            new SilentCrashAnnouncer(),
                            (upstream, vouch, then) ->
                                    then.accept(UpstreamCrashDetector.ProbeResult.UNKNOWN),
                            () -> true,
                            () -> true,
                            new Metrics()),
                    new LostUpstreamAnnouncer(Instant::now, upstreams, new SilentWire()),
                    new UpstreamStatementHandler(
                            Instant::now,
                            upstreams,
                            new DeclaredLimits(Instant::now, upstreams, new SilentLimits()),
                            new ReportedLoads(Instant::now, upstreams, new Metrics()),
                            new AnnouncedDepartures(
                                    Instant::now, upstreams, new SilentDepartures()),
                            new Metrics()),
                    new DirectSettings.AnswerLimits(1 << 20, 1 << 20),
                    new BodyMemory(1 << 20));
    private final HttpServer upstream = server(upstreamLoop, this::recordCall);
    private final HttpServer router = server(loop, this::startFlow);

    @AfterEach
    void stop() {
        loop.close();
        upstreamLoop.close();
    }

    // Guards against a request that is sent in the middle of a read pass: an answer frees a slot
    // for it, and only afterwards is it read that its own caller has disconnected.
    @Test
    void aFreedSlotIsNotGivenToACallerThatHasDisconnected() throws Exception {
        putUpstream(upstream.port());
        Socket first = send("/first");
        Socket second = send("/second");
        Socket third = send("/third");
        await().atMost(LIMIT).until(() -> reached.size() == 2 && openRequests() == 3);

        CountDownLatch release = blockEventLoop();
        answer("/first");
        third.close();
        release.countDown();

        Socket fourth = send("/fourth");
        await().atMost(LIMIT).until(() -> reached.contains("/fourth"));
        assertEquals(Set.of("/first", "/second", "/fourth"), Set.copyOf(reached));
        for (Socket each : List.of(first, second, fourth)) {
            each.close();
        }
    }

    // Guards against a request that is written when its upstream connection opens, although its
    // caller disconnected while the connection was being opened.
    @Test
    void nothingIsWrittenWhenAConnectionOpensAfterTheCallerDisconnected() throws Exception {
        try (ServerSocket fullBacklog = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // These two connections fill the backlog, so that the router's attempt has to wait.
            Socket one = new Socket(InetAddress.getLoopbackAddress(), fullBacklog.getLocalPort());
            Socket two = new Socket(InetAddress.getLoopbackAddress(), fullBacklog.getLocalPort());
            putUpstream(fullBacklog.getLocalPort());
            Socket caller = send("/first");
            await().atMost(LIMIT).until(() -> openRequests() == 1);

            CountDownLatch release = blockEventLoop();
            fullBacklog.accept().close();
            fullBacklog.accept().close();
            Socket router = fullBacklog.accept();
            caller.close();
            release.countDown();

            router.setSoTimeout((int) LIMIT.toMillis());
            assertEquals(-1, router.getInputStream().read(), "bytes reached the upstream");
            one.close();
            two.close();
        }
    }

    // Guards against a request that is written when its upstream connection opens, although its
    // zone was closed while the connection was being opened.
    @Test
    void nothingIsWrittenWhenAConnectionOpensAfterTheZoneWasClosed() throws Exception {
        assertNothingIsWrittenAfter(() -> upstreams.zones().drain("a", Instant.MIN));
    }

    // Guards against a request that is written when its upstream connection opens, although the
    // upstream asked for a pause while the connection was being opened.
    @Test
    void nothingIsWrittenWhenAConnectionOpensInAPause() throws Exception {
        Duration pause = Duration.ofMinutes(1);
        assertNothingIsWrittenAfter(() -> upstreams.pauseRequested(ID, pause, Instant.now()));
    }

    // Guards against a pause that is lost with the answer that asks for it, as the router reads
    // first
    // that the caller has disconnected.
    @Test
    void aPauseCountsThoughTheCallerOfItsAnswerHasDisconnected() throws Exception {
        putUpstream(upstream.port());
        Socket first = send("/first");
        await().atMost(LIMIT).until(() -> reached.contains("/first"));

        CountDownLatch release = blockEventLoop();
        first.close();
        pause("/first", "60");
        release.countDown();

        await().atMost(LIMIT)
                .until(
                        () ->
                                loop.events()
                                        .submit(() -> upstreams.mayBePaused(Instant.now()))
                                        .get());
    }

    // The change comes while the connection of the request is being opened.
    private void assertNothingIsWrittenAfter(Runnable change) throws Exception {
        try (ServerSocket fullBacklog = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Socket one = new Socket(InetAddress.getLoopbackAddress(), fullBacklog.getLocalPort());
            Socket two = new Socket(InetAddress.getLoopbackAddress(), fullBacklog.getLocalPort());
            putUpstream(fullBacklog.getLocalPort());
            Socket caller = send("/first");
            await().atMost(LIMIT).until(() -> openRequests() == 1);

            CountDownLatch release = blockEventLoop();
            loop.events().execute(change);
            fullBacklog.accept().close();
            fullBacklog.accept().close();
            Socket router = fullBacklog.accept();
            release.countDown();

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

    // An upstream with one slot gets two requests at once; further ones wait in the router.
    private void putUpstream(int port) {
        UpstreamFacts facts =
                new UpstreamFacts(
                        ID,
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

    private void startFlow(HttpCall call) {
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
        AdmissionTerms admitted =
                new AdmissionTerms(
                        Optional.empty(),
                        AllowedRegions.ANYWHERE,
                        1,
                        Instant.now(),
                        Duration.ZERO,
                        0,
                        () -> {});
        flows.start(
                new ForwardedRequest(
                        flows, call, dialect.request(call.headers()), route, SERVICE, admitted));
    }

    private void recordCall(HttpCall call) {
        reached.add(call.target());
        running.put(call.target(), call);
    }

    private void answer(String target) {
        answer(target, 200, new DefaultHttpHeaders());
    }

    private void pause(String target, String seconds) {
        answer(target, 503, new DefaultHttpHeaders().set("Retry-After", seconds));
    }

    private void answer(String target, int status, HttpHeaders headers) {
        upstreamLoop
                .events()
                .submit(() -> running.get(target).answer(status, headers, Unpooled.EMPTY_BUFFER))
                .syncUninterruptibly();
    }

    private int openRequests() {
        return loop.events().submit(flows::size).syncUninterruptibly().getNow();
    }

    private CountDownLatch blockEventLoop() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.events()
                .execute(
                        () -> {
                            blocked.countDown();
                            try {
                                release.await(LIMIT.toMillis(), TimeUnit.MILLISECONDS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        blocked.await();
        return release;
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

    /** Sends no announcements, since there is no other router. */
    private static final class SilentWire implements LostUpstreamAnnouncer.Transport {
        @Override
        public void announceLost(UpstreamId upstream, long startedAt) {}

        @Override
        public void forwardLost(UpstreamId upstream, long startedAt) {}
    }

    private static HttpServer server(HttpLoop loop, io.damaskyoke.http.HttpHandler handler) {
        return HttpServer.start(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                HttpLimits.defaults(),
                handler);
    }
}
