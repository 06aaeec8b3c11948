package io.damaskyoke.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.upstream.UpstreamException.Code;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpEngineTest {
    private static final Model ADAPTER =
            new Model(
                    ModelName.of("edges"),
                    "v2",
                    PoolName.of("pool"),
                    Optional.of(ModelName.of("cut-sheet")),
                    700,
                    1,
                    Set.of());
    private static final BlockingQueue<String> SEEN = new LinkedBlockingQueue<>();
    private static volatile HttpResponse next;
    private static ActorSystem system;
    private static HttpEngine engine;

    @BeforeAll
    static void startEngine() throws Exception {
        system = ActorSystem.create("engine-test");
        ServerBinding binding =
                Http.get(system)
                        .newServerAt("127.0.0.1", 0)
                        .bind(HttpEngineTest::answer)
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS);
        engine = engine("http://127.0.0.1:" + binding.localAddress().getPort());
    }

    @AfterAll
    static void stopEngine() throws Exception {
        system.terminate();
        system.getWhenTerminated().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @Test
    void ordersSayWhatToLoadAndWithWhichFencing() throws Exception {
        next = HttpResponse.create();
        get(engine.load(ADAPTER, 9));
        assertEquals(
                "POST /orders/load {\"model\":\"edges\",\"version\":\"v2\",\"kind\":\"adapter\","
                        + "\"base\":\"cut-sheet\",\"memory_bytes\":700,\"fencing\":9}",
                SEEN.take());
        get(engine.unload(ADAPTER.name(), 10));
        assertEquals("POST /orders/unload {\"model\":\"edges\",\"fencing\":10}", SEEN.take());
    }

    @Test
    void theReportSaysWhatIsHeld() throws Exception {
        next =
                HttpResponse.create()
                        .withEntity(
                                "{\"memory_bytes\":1000,\"memory_used_bytes\":700,\"loaded\":["
                                    + "{\"model\":\"edges\",\"kind\":\"adapter\",\"memory_bytes\":700,"
                                    + "\"version\":\"v2\"}],\"loading\":[{\"model\":\"tide\","
                                    + "\"kind\":\"model\",\"memory_bytes\":5}],\"running\":3,"
                                    + "\"waiting\":1,\"cached_on_disk\":[\"tide\"]}");
        Engine.Report report = get(engine.report());
        SEEN.take();
        assertEquals(
                new Engine.Report(
                        1000,
                        700,
                        List.of(new Engine.Held(ADAPTER.name(), 700, Optional.of("v2"))),
                        List.of(new Engine.Held(ModelName.of("tide"), 5, Optional.empty())),
                        List.of(ModelName.of("tide")),
                        3,
                        1),
                report);
    }

    @ParameterizedTest
    @CsvSource({"409, ORDER_REFUSED", "507, OUT_OF_MEMORY", "500, BAD_ANSWER"})
    void aRefusedOrderHasTheCodeOfItsReason(int status, Code code) throws Exception {
        next = HttpResponse.create().withStatus(status);
        assertEquals(code, failure(engine.load(ADAPTER, 1)));
        SEEN.take();
    }

    @ParameterizedTest
    @CsvSource({"{}", "nonsense", "'{\"loaded\":[],\"loading\":[],\"cached_on_disk\":[]}'"})
    void aReportThatCannotBeReadIsABadAnswer(String body) throws Exception {
        next = HttpResponse.create().withEntity(body);
        assertEquals(Code.BAD_ANSWER, failure(engine.report()));
        SEEN.take();
    }

    @Test
    void anOrderWhoseAnswerIsLostMayHaveRun() throws Exception {
        // The engine reads the order, then its connection breaks. The model may be loading now, so
        // its memory has to stay counted until a report shows otherwise.
        try (RawServer server = new RawServer(RawServer::reset)) {
            assertEquals(
                    Code.MAY_HAVE_RUN, failure(engine(server.url().toString()).load(ADAPTER, 1)));
        }
    }

    // Guards against a load that failed and counts as done, as the answer to an earlier order comes
    // twice.
    @Test
    void anExtraAnswerToAnOrderDecidesNoOtherOrder() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        RawServer.Handler twice =
                socket -> {
                    String ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    String full = "HTTP/1.1 507 Full\r\nContent-Length: 0\r\n\r\n";
                    boolean first = requests.getAndIncrement() == 0;
                    RawServer.write(socket, first ? ok + ok : full + ok);
                };
        try (RawServer server = new RawServer(twice)) {
            HttpEngine own = engine(server.url().toString());
            get(own.load(ADAPTER, 1));
            assertEquals(Code.OUT_OF_MEMORY, failure(own.load(ADAPTER, 2)));
            assertEquals(2, server.sockets.size());
        }
    }

    // Guards against a report from before a load, taken for the current one as it comes twice.
    @Test
    void anExtraReportIsNotTakenForTheNextOne() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        RawServer.Handler twice =
                socket -> {
                    String report = report(requests.incrementAndGet());
                    RawServer.write(socket, report + report);
                };
        try (RawServer server = new RawServer(twice)) {
            HttpEngine own = engine(server.url().toString());
            assertEquals(1, get(own.report()).running());
            assertEquals(2, get(own.report()).running());
        }
    }

    private static String report(int running) {
        String body =
                "{\"memory_bytes\":1,\"memory_used_bytes\":0,\"loaded\":[],\"loading\":[],"
                        + "\"cached_on_disk\":[],\"waiting\":0,\"running\":"
                        + running
                        + "}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static HttpEngine engine(String url) {
        HttpUpstream upstream =
                HttpUpstream.builder()
                        .system(system)
                        .url(URI.create(url))
                        .clock(() -> Instant.EPOCH)
                        .metrics(new Metrics())
                        .build();
        return HttpEngine.builder()
                .upstream(upstream)
                .system(system)
                .url(URI.create(url))
                .loadTimeout(Duration.ofSeconds(10))
                .build();
    }

    private static CompletionStage<HttpResponse> answer(HttpRequest request) {
        return request.entity()
                .toStrict(5_000, system)
                .thenApply(
                        body -> {
                            SEEN.add(
                                    request.method().name()
                                            + " "
                                            + request.getUri().path()
                                            + " "
                                            + body.getData().utf8String());
                            return next;
                        });
    }

    private static <T> T get(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private static Code failure(CompletionStage<?> stage) {
        ExecutionException e = assertThrows(ExecutionException.class, () -> get(stage));
        return assertInstanceOf(UpstreamException.class, e.getCause()).code();
    }
}
