package io.damaskyoke.caller;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.CancelSignal;
import io.damaskyoke.exchange.ExchangeException;
import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.metrics.Metrics;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CallerServerTest {
    private static final String HELLO = "{\"model\":\"cut-sheet\",\"messages\":[{}]}";
    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private static ActorSystem system;

    private final ConcurrentLinkedQueue<Request> requests = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<CancelSignal> signals = new ConcurrentLinkedQueue<>();
    private final Metrics metrics = new Metrics();
    private volatile boolean granted = true;
    private volatile boolean accepting = true;
    private volatile Function<Request, CompletionStage<Answer>> upstream =
            request -> now(served("application/json", Source.single(bytes("{}"))));
    private CallerServer server;

    @BeforeAll
    static void startSystem() {
        system = ActorSystem.create("caller-test");
    }

    @AfterAll
    static void stopSystem() {
        system.terminate();
        system.getWhenTerminated().toCompletableFuture().join();
    }

    @AfterEach
    void stopServer() {
        if (server != null) {
            server.terminate(Duration.ZERO).toCompletableFuture().join();
        }
    }

    @Test
    void anAnswerComesBackWithItsStatusHeadersAndBody() throws IOException {
        upstream =
                request ->
                        now(
                                new Answer.Served(
                                        201,
                                        List.of(
                                                new Header("X-Bed", "7"),
                                                new Header("Connection", "X-Hop"),
                                                new Header("X-Hop", "1")),
                                        Source.single(bytes("leased"))));
        String answer = ask("PUT /v1/services/ledger/bed?id=7", "");
        assertTrue(answer.startsWith("HTTP/1.1 201 "), answer);
        assertTrue(answer.contains("X-Bed: 7") && answer.endsWith("leased"), answer);
        assertFalse(answer.contains("X-Hop"), answer);
        assertEquals("/bed?id=7", requests.peek().path());
    }

    @Test
    void noHeaderThatTheCallerDidNotSendReachesTheUpstream() throws IOException {
        ask("PUT /v1/services/ledger/bed", "");
        List<String> names = requests.peek().headers().stream().map(Header::name).toList();
        assertFalse(names.contains("Timeout-Access"), names.toString());
        assertFalse(names.contains("Raw-Request-URI"), names.toString());
    }

    @Test
    void onlyModelsOpenToTheWorkspaceAreListed() throws IOException {
        JsonNode list = json(ask("GET /v1/models", ""));
        assertEquals(1, list.path("data").size());
        assertEquals("cut-sheet", list.path("data").path(0).path("id").asText());
        assertTrue(ask("GET /v1/models/tides", "").startsWith("HTTP/1.1 404 "));
        assertTrue(ask("GET /v1/models/cut%2Dsheet", "").startsWith("HTTP/1.1 200 "));
    }

    @ParameterizedTest
    @CsvSource({
        "GET /nowhere, 404, unknown_service",
        "GET /v1/chat/completions, 405, method_not_allowed",
        "BREW /v1/models, 501, malformed_request",
        "GET /v1/%zz, 400, malformed_request",
        "POST /v1/chat/completions, 400, malformed_request"
    })
    void whatCannotBeReadIsRefusedAsJson(String line, int status, String code) throws IOException {
        String answer = ask(line, "{\"model\":");
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        assertEquals(code, json(answer).path("error").path("code").asText());
        assertTrue(json(answer).path("error").path("not_run").asBoolean());
        assertTrue(requests.isEmpty());
    }

    @Test
    void aWrongMethodIsToldTheRightOnes() throws IOException {
        assertTrue(ask("PUT /v1/models", "").contains("Allow: GET, HEAD, OPTIONS"));
        assertTrue(ask("OPTIONS /v1/models", "").startsWith("HTTP/1.1 204 "));
        assertTrue(ask("HEAD /v1/models", "").endsWith("\r\n\r\n"));
    }

    @Test
    void aBodyAboveTheLimitIsRefusedWhetherItsLengthIsToldOrNot() throws IOException {
        String large = "a".repeat(CallerFixture.MAX_BODY + 1);
        assertEquals("body_too_large", code(ask("POST /v1/chat/completions", large)));
        String chunked =
                head("POST /v1/chat/completions", "Transfer-Encoding: chunked")
                        + Integer.toHexString(large.length())
                        + "\r\n"
                        + large
                        + "\r\n0\r\n\r\n";
        assertEquals("body_too_large", code(exchange(chunked)));
    }

    @Test
    void aWaitIsToldInWholeSecondsRoundedUp() throws IOException {
        Refusal busy =
                Refusal.notRun(RefusalCode.OVERLOADED, "busy").retryAfter(Duration.ofMillis(1_001));
        upstream = request -> now(new Answer.Refused(busy));
        String answer = ask("POST /v1/chat/completions", HELLO);
        assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Retry-After: 2"), answer);
        assertEquals(1, metrics.counter("caller_refused{code=\"overloaded\"}").getCount());
    }

    /*
     * A caller sends half a head and then nothing, to hold the connection for ever. It gets a
     * refusal and the connection ends, although it never stops to wait.
     */
    @Test
    void aHeadThatNeverEndsIsRefused() throws IOException {
        start(Duration.ofMillis(300));
        String answer = exchange("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-");
        assertTrue(answer.startsWith("HTTP/1.1 408 "), answer);
        assertEquals("request_timeout", code(answer));
    }

    /* The head is whole, the body stops in the middle: nothing may run, and the caller is told. */
    @Test
    void aBodyThatNeverEndsIsRefused() throws IOException {
        start(Duration.ofMillis(300));
        String answer = exchange(head("POST /v1/chat/completions", "Content-Length: 50") + "{");
        assertTrue(answer.startsWith("HTTP/1.1 408 "), answer);
        assertTrue(requests.isEmpty());
    }

    /*
     * A caller sends its request, closes its sending side and reads on. The answer comes later;
     * the end of the input must not be taken for the end of the caller.
     */
    @Test
    void aCallerThatStopsSendingStillGetsItsAnswer() throws IOException {
        CompletableFuture<Answer> later = new CompletableFuture<>();
        upstream = request -> later;
        start(Duration.ofSeconds(5));
        try (Socket socket = connect()) {
            send(socket, request("POST /v1/chat/completions", HELLO));
            socket.shutdownOutput();
            await().atMost(PATIENCE).until(() -> !signals.isEmpty());
            byte[] probe = socket.getInputStream().readNBytes("HTTP/1.1 102".length());
            assertEquals("HTTP/1.1 102", new String(probe, StandardCharsets.US_ASCII));
            later.complete(served("text/plain", Source.single(bytes("whole"))));
            String rest = readAll(socket);
            assertTrue(rest.contains("HTTP/1.1 200 ") && rest.endsWith("whole"), rest);
        }
        assertFalse(signals.peek().cancelled());
    }

    /*
     * A caller closes its connection while its request waits. Its system sends the same end of
     * input as above; the interim response is answered by a reset, and the request is cancelled.
     */
    @Test
    void aCallerThatGoesWhileItsRequestWaitsCancelsIt() throws IOException {
        upstream = request -> new CompletableFuture<>();
        start(Duration.ofSeconds(5));
        try (Socket socket = connect()) {
            send(socket, request("POST /v1/chat/completions", HELLO));
            await().atMost(PATIENCE).until(() -> !signals.isEmpty());
        }
        await().atMost(PATIENCE).until(() -> signals.peek().cancelled());
    }

    /* The caller goes in the middle of a stream: the upstream must not go on for nobody. */
    @Test
    void aCallerThatGoesInTheMiddleCancelsTheBody() throws IOException {
        CompletableFuture<String> ended = new CompletableFuture<>();
        Source<ByteString, NotUsed> endless =
                Source.tick(Duration.ZERO, Duration.ofMillis(20), bytes("data: {}\n\n"))
                        .mapMaterializedValue(unused -> NotUsed.getInstance())
                        .watchTermination(
                                (unused, done) -> {
                                    done.whenComplete((ok, failure) -> ended.complete("ended"));
                                    return unused;
                                });
        upstream = request -> now(served("text/event-stream", endless));
        start(Duration.ofSeconds(5));
        try (Socket socket = connect()) {
            send(socket, request("POST /v1/chat/completions", HELLO));
            socket.getInputStream().readNBytes(200);
        }
        await().atMost(PATIENCE).until(ended::isDone);
    }

    /*
     * The upstream breaks off in the middle of a stream. The caller gets an error event, and the
     * chunk that ends a whole body never comes.
     */
    @Test
    void aStreamThatBreaksOffIsNotPassedOffAsWhole() throws IOException {
        upstream = request -> now(served("text/event-stream", cut(bytes("data: 1\n\n"))));
        String answer = ask("POST /v1/chat/completions", HELLO);
        assertTrue(answer.contains("data: 1\n\n"), answer);
        assertTrue(answer.contains("\"code\":\"upstream_failed\""), answer);
        assertTrue(answer.contains("\"not_run\":false"), answer);
        assertFalse(answer.contains("\r\n0\r\n"), answer);
        assertEquals(1, metrics.counter("caller_answers_cut").getCount());
    }

    /* The same for an answer that was not streamed: the caller never sees the 200. */
    @Test
    void aSmallAnswerThatBreaksOffBecomesARefusal() throws IOException {
        upstream = request -> now(served("application/json", cut(bytes("{\"half\":"))));
        String answer = ask("POST /v1/services/ledger/pay", "");
        assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
        assertEquals("outcome_unknown", code(answer));
        assertFalse(json(answer).path("error").path("not_run").asBoolean(true));
    }

    // Guards against an answer that is sent to the request before its own, which takes longer.
    @Test
    void pipelinedRequestsAreAnsweredInTheirOrder() throws IOException {
        CompletableFuture<Answer> later = new CompletableFuture<>();
        upstream =
                request ->
                        request.path().equals("/first")
                                ? later
                                : now(served("text/plain", Source.single(bytes("second"))));
        start(Duration.ofSeconds(5));
        try (Socket socket = connect()) {
            send(
                    socket,
                    keepAlive(request("PUT /v1/services/ledger/first", ""))
                            + request("PUT /v1/services/ledger/second", ""));
            await().atMost(PATIENCE).until(() -> !requests.isEmpty());
            later.complete(served("text/plain", Source.single(bytes("first"))));
            String answers = readAll(socket);
            assertEquals(2, answers.split("HTTP/1.1 200 ", -1).length - 1, answers);
            assertTrue(answers.indexOf("first") < answers.indexOf("second"), answers);
        }
    }

    // Guards against the answer to a request that was queued behind a stream, sent as the rest of
    // the stream after it broke off.
    @Test
    void nothingFollowsAStreamThatBrokeOff() throws IOException {
        upstream = request -> now(served("text/event-stream", cut(bytes("data: 1\n\n"))));
        String answers =
                exchange(
                        keepAlive(request("POST /v1/chat/completions", HELLO))
                                + request("GET /v1/models", ""));
        assertEquals(1, answers.split("HTTP/1.1 ", -1).length - 1, answers);
        assertFalse(answers.contains("\r\n0\r\n"), answers);
    }

    // Guards against an answer to a caller that has disconnected, sent on the connection that
    // followed it.
    @Test
    void anAnswerAfterItsConnectionHasEndedIsSentToNobody() throws IOException {
        CompletableFuture<Answer> late = new CompletableFuture<>();
        CompletableFuture<Answer> next = new CompletableFuture<>();
        upstream = request -> request.path().equals("/late") ? late : next;
        start(Duration.ofSeconds(5));
        try (Socket socket = connect()) {
            send(socket, request("PUT /v1/services/ledger/late", ""));
            await().atMost(PATIENCE).until(() -> !signals.isEmpty());
        }
        await().atMost(PATIENCE).until(() -> signals.peek().cancelled());
        try (Socket socket = connect()) {
            send(socket, request("PUT /v1/services/ledger/next", ""));
            await().atMost(PATIENCE).until(() -> signals.size() == 2);
            late.complete(served("text/plain", Source.single(bytes("of the first"))));
            next.complete(served("text/plain", Source.single(bytes("of the second"))));
            String answers = readAll(socket);
            assertEquals(1, answers.split("HTTP/1.1 200 ", -1).length - 1, answers);
            assertTrue(answers.endsWith("of the second"), answers);
        }
    }

    /* A large answer is on its way already when it breaks off: its last chunk must not come. */
    @Test
    void aLargeAnswerThatBreaksOffEndsWithoutItsLastChunk() throws IOException {
        ByteString large = bytes("a".repeat(AnswerSender.GATHER_BYTES + 1));
        upstream = request -> now(served("application/json", cut(large)));
        String answer = ask("GET /v1/services/ledger/report", "");
        assertTrue(answer.startsWith("HTTP/1.1 200 "));
        assertFalse(answer.endsWith("0\r\n\r\n"));
    }

    /*
     * The caller reads nothing. What the sockets hold fills up; from then on the source must not
     * be pulled, or each slow caller would cost the memory of its whole answer.
     */
    @Test
    void aCallerThatDoesNotReadStopsTheSource() throws IOException, InterruptedException {
        int chunks = 2_000;
        AtomicInteger pulled = new AtomicInteger();
        ByteString chunk = bytes("a".repeat(64 * 1024));
        Source<ByteString, NotUsed> large =
                Source.range(1, chunks)
                        .map(
                                i -> {
                                    pulled.incrementAndGet();
                                    return chunk;
                                })
                        .mapMaterializedValue(unused -> NotUsed.getInstance());
        upstream = request -> now(served("application/octet-stream", large));
        start(Duration.ofSeconds(5));
        try (Socket socket = connect()) {
            send(socket, request("GET /v1/services/ledger/report", ""));
            await().atMost(PATIENCE)
                    .during(Duration.ofMillis(500))
                    .until(() -> pulled.get() > 0 && unchanged(pulled));
            assertTrue(pulled.get() < chunks, "pulled " + pulled.get());
        }
    }

    /* The key is withdrawn between two requests of one open connection: the second must not run. */
    @Test
    void aWithdrawnKeyStopsWorkingOnAnOpenConnection() throws IOException {
        start(Duration.ofSeconds(5));
        try (Socket socket = connect()) {
            send(socket, keepAlive(request("POST /v1/chat/completions", HELLO)));
            await().atMost(PATIENCE).until(() -> requests.size() == 1);
            granted = false;
            send(socket, request("POST /v1/chat/completions", HELLO));
            assertEquals("key_withdrawn", code(readAll(socket)));
        }
        assertEquals(1, requests.size());
    }

    /*
     * The server is told to stop while a request waits. The request is answered, new ones are
     * refused as not run, and only then the connections end.
     */
    @Test
    void aStopCutsOffNoRequest() throws IOException {
        CompletableFuture<Answer> later = new CompletableFuture<>();
        upstream = request -> later;
        start(Duration.ofSeconds(5));
        try (Socket socket = connect();
                Socket other = connect()) {
            send(socket, keepAlive(request("POST /v1/chat/completions", HELLO)));
            await().atMost(PATIENCE).until(() -> !requests.isEmpty());
            accepting = false;
            send(other, keepAlive(request("POST /v1/chat/completions", HELLO)));
            assertEquals("stopping", code(readAll(other)));
            CompletableFuture<?> stopped = server.terminate(PATIENCE).toCompletableFuture();
            assertFalse(stopped.isDone());
            later.complete(served("text/plain", Source.single(bytes("whole"))));
            assertTrue(readAll(socket).endsWith("whole"));
            stopped.join();
        }
    }

    private final AtomicInteger seen = new AtomicInteger();

    private boolean unchanged(AtomicInteger pulled) {
        return seen.getAndSet(pulled.get()) == pulled.get();
    }

    private void start(Duration headerTimeout) {
        AtomicInteger counter = new AtomicInteger();
        server =
                CallerServer.builder()
                        .settings(CallerFixture.settings(headerTimeout))
                        .dispatcher(this::dispatch)
                        .configuration(() -> CallerFixture.configuration(granted))
                        .hasher(CallerFixture.HASHER)
                        .clock(Clock.systemUTC())
                        .metrics(metrics)
                        .exchangeIds(
                                () ->
                                        new ExchangeId(
                                                Incarnation.of("vm:1"), counter.getAndIncrement()))
                        .accepting(() -> accepting)
                        .start(system)
                        .toCompletableFuture()
                        .join();
    }

    private CompletionStage<Answer> dispatch(Request request, CancelSignal cancel) {
        requests.add(request);
        signals.add(cancel);
        return upstream.apply(request);
    }

    private String ask(String line, String body) throws IOException {
        if (server == null) {
            start(Duration.ofSeconds(5));
        }
        return exchange(request(line, body));
    }

    private String exchange(String request) throws IOException {
        if (server == null) {
            start(Duration.ofSeconds(5));
        }
        try (Socket socket = connect()) {
            send(socket, request);
            return readAll(socket);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setSoTimeout((int) PATIENCE.toMillis());
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static String request(String line, String body) {
        return head(line, "Content-Length: " + body.length()) + body;
    }

    private static String head(String line, String lengthHeader) {
        return line
                + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Type: application/json\r\n"
                + "Authorization: Bearer "
                + CallerFixture.KEY
                + "\r\n"
                + lengthHeader
                + "\r\n\r\n";
    }

    private static String keepAlive(String request) {
        return request.replace("Connection: close\r\n", "");
    }

    private static String code(String answer) throws IOException {
        return json(answer).path("error").path("code").asText();
    }

    private static JsonNode json(String answer) throws IOException {
        return new ObjectMapper().readTree(answer.substring(answer.lastIndexOf("\r\n\r\n") + 4));
    }

    private static Answer served(String type, Source<ByteString, NotUsed> body) {
        return new Answer.Served(200, List.of(new Header("Content-Type", type)), body);
    }

    private static Source<ByteString, NotUsed> cut(ByteString first) {
        return Source.single(first)
                .concatLazy(
                        Source.lazySource(
                                () ->
                                        Source.<ByteString>failed(
                                                new ExchangeException(
                                                        ExchangeException.Code.UPSTREAM_CUT,
                                                        "cut"))));
    }

    private static CompletionStage<Answer> now(Answer answer) {
        return CompletableFuture.completedFuture(answer);
    }

    private static ByteString bytes(String text) {
        return ByteString.fromString(text);
    }
}
