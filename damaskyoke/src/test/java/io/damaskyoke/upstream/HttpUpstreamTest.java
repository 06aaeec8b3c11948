package io.damaskyoke.upstream;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.ExchangeException;
import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.exchange.Target;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.upstream.UpstreamException.Code;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpUpstreamTest {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);
    private static ActorSystem system;

    @BeforeAll
    static void startSystem() {
        system = ActorSystem.create("upstream-test");
    }

    @AfterAll
    static void stopSystem() throws Exception {
        system.terminate();
        system.getWhenTerminated().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @Test
    void methodPathHeadersAndBodyGoThroughAndNoCredentialDoes() throws Exception {
        try (RawServer server =
                new RawServer(
                        RawServer.answering(
                                "HTTP/1.1 201 Created\r\n"
                                        + "Content-Type: application/json\r\n"
                                        + "X-Slab: 7\r\n"
                                        + "Content-Length: 2\r\n\r\n"
                                        + "{}"))) {
            Answer.Served served =
                    get(
                            to(server.url())
                                    .send(
                                            request(
                                                    "PUT",
                                                    "/a%2Fb//c?q=%20x",
                                                    List.of(
                                                            new Header("X-Trace", "t1"),
                                                            new Header("User-Agent", "laser/2"),
                                                            new Header(
                                                                    "Content-Type", "text/plain"),
                                                            new Header("aUTHORIZATION", "Bearer k"),
                                                            new Header("X-Api-Key", "k")),
                                                    "cut")));
            assertEquals(201, served.status());
            assertTrue(served.headers().contains(new Header("X-Slab", "7")));
            assertTrue(served.headers().contains(new Header("Content-Type", "application/json")));
            assertEquals("{}", text(served));
            String head = server.heads.get(0);
            assertTrue(head.startsWith("PUT /a%2Fb//c?q=%20x HTTP/1.1\r\n"), head);
            assertTrue(head.contains("X-Trace: t1\r\n"), head);
            assertTrue(head.contains("User-Agent: laser/2\r\n"), head);
            assertTrue(head.contains("Content-Length: 3\r\n"), head);
            assertFalse(head.toLowerCase().contains("authorization"), head);
            assertFalse(head.toLowerCase().contains("api-key"), head);
        }
    }

    @Test
    void refusedConnectMeansNotSent() throws Exception {
        // Nobody listens: the connect is refused, no byte left, so the caller may be told "not
        // run".
        RawServer server = new RawServer(socket -> {});
        URI url = server.url();
        server.close();
        assertEquals(Code.NOT_SENT, failure(to(url).send(order())));
    }

    @Test
    void connectTimeoutMeansNotSent() {
        // The deadline passes while the connect still waits for the other side's first packet. The
        // address belongs to a listener whose queue is full, so no connection comes to stand.
        try (java.net.ServerSocket full = new java.net.ServerSocket()) {
            full.bind(new java.net.InetSocketAddress("127.0.0.1", 0), 1);
            List<java.nio.channels.SocketChannel> fillers = fill(full);
            URI url = URI.create("http://127.0.0.1:" + full.getLocalPort());
            assertEquals(Code.NOT_SENT, failure(to(url).send(order())));
            for (java.nio.channels.SocketChannel filler : fillers) {
                filler.close();
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void resetAfterTheRequestMeansItMayHaveRunAndIsNotSentAgain() throws Exception {
        // The upstream reads the order and dies. It may have cut the slab: the caller must not be
        // told "not run", and nobody may send the order again, though PUT is called idempotent.
        try (RawServer server = new RawServer(RawServer::reset)) {
            HttpUpstream upstream = to(server.url());
            Request put = request("PUT", "/order", List.of(), "x");
            assertEquals(Code.MAY_HAVE_RUN, failure(upstream.send(put)));
            assertEquals(Code.MAY_HAVE_RUN, failure(upstream.send(order())));
            assertEquals(2, server.sockets.size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200", "nonsense\r\n\r\n"})
    void closeWithoutAnAnswerMeansItMayHaveRun(String bytes) throws Exception {
        try (RawServer server = new RawServer(RawServer.answering(bytes))) {
            assertEquals(Code.MAY_HAVE_RUN, failure(to(server.url()).send(order())));
        }
    }

    @Test
    void anUpstreamThatAcceptsAndClosesAtOnceMayStillHaveReadTheRequest() throws Exception {
        // The kernel accepts and the process closes: we wrote, and cannot know what was read.
        try (RawServer server = new RawServer(java.net.Socket::close)) {
            assertEquals(Code.MAY_HAVE_RUN, failure(to(server.url()).send(order())));
        }
    }

    // Guards against bytes that are no answer of the protocol and are passed on as one.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\n",
                "HTTP/1.1 099 OK\r\n",
                "HTTP/1.1 600 OK\r\n",
                "HTTP/1.1 999 OK\r\n",
                "HTTP/1.1 200 OK\r\nA B: x\r\n",
                "HTTP/1.1 200 OK\r\nA : x\r\n",
                "HTTP/1.1 200 OK\r\nA\u0001B: x\r\n",
                "HTTP/1.1 200 OK\r\nA\u007f: x\r\n",
                "HTTP/1.1 200 OK\r\n A: x\r\n"
            })
    void aMalformedHeadIsNoAnswer(String head) throws Exception {
        RawServer.Handler handler = RawServer.answering(head + "Content-Length: 2\r\n\r\nok");
        try (RawServer server = new RawServer(handler)) {
            assertEquals(Code.MAY_HAVE_RUN, failure(to(server.url()).send(order())));
        }
    }

    @Test
    void aConnectionThatTheUpstreamLeftOpenIsNotUsedAgain() throws Exception {
        // The upstream keeps the first connection alive and closes it whenever it likes. A second
        // request on it would fail as "may have run"; it gets a connection of its own instead.
        try (RawServer server =
                new RawServer(
                        socket ->
                                RawServer.write(
                                        socket,
                                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))) {
            HttpUpstream upstream = to(server.url());
            assertEquals("ok", text(get(upstream.send(order()))));
            server.sockets.get(0).close();
            assertEquals("ok", text(get(upstream.send(order()))));
            assertEquals(2, server.sockets.size());
        }
    }

    // Guards against an answer that comes twice and is passed on as a part of the first, or as the
    // answer to the next request.
    @Test
    void anExtraAnswerIsPassedOnForNoRequest() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        RawServer.Handler twice =
                socket -> {
                    String answer =
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n#"
                                    + requests.incrementAndGet();
                    RawServer.write(socket, answer + answer);
                };
        try (RawServer server = new RawServer(twice)) {
            HttpUpstream upstream = to(server.url());
            for (int request = 1; request <= 9; request++) {
                assertEquals("#" + request, text(get(upstream.send(order()))));
            }
            assertEquals(9, server.sockets.size());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 10\r\n\r\nhalf",
                "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf",
                "\r\nhalf"
            })
    void anAnswerCutShortIsNeverPassedOffAsWhole(String rest) throws Exception {
        // The upstream dies in the middle of the body. The caller has the first half; the stream
        // fails instead of ending, also where nothing but the connection marks the end.
        try (RawServer server = new RawServer(RawServer.answering("HTTP/1.1 200 OK\r\n" + rest))) {
            Answer.Served served = get(to(server.url()).send(order()));
            ExecutionException e = assertThrows(ExecutionException.class, () -> text(served));
            assertInstanceOf(ExchangeException.class, e.getCause());
            assertEquals("UPSTREAM_CUT", ((ExchangeException) e.getCause()).codeName());
        }
    }

    // Guards against half an answer that looks like a whole one.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nX-Slab: 7\r\nContent-Length: 13\r\n\r\ndone and done",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Slab: 7\r\n\r\n"
                        + "4\r\ndone\r\n0\r\n\r\n",
                "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndone"
            })
    void anAnswerCutAtAnyByteIsNeverWhole(String whole) throws Exception {
        for (int end = 0; end < whole.length(); end++) {
            String cut = whole.substring(0, end);
            try (RawServer server = new RawServer(RawServer.answering(cut))) {
                CompletableFuture<Answer.Served> answer = to(server.url()).send(order());
                assertThrows(ExecutionException.class, () -> text(get(answer)), cut);
            }
        }
    }

    @Test
    void bytesComeBeforeTheAnswerIsWholeAndCancellingClosesTheConnection() throws Exception {
        // The caller hangs up in the middle of a stream. The engine sees its connection closed and
        // stops generating, and the slot is free for the next request.
        try (RawServer server =
                new RawServer(
                        socket -> {
                            RawServer.write(
                                    socket,
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            + "5\r\nfirst\r\n");
                            RawServer.awaitGone(socket);
                        })) {
            HttpUpstream upstream = to(server.url());
            Answer.Served served = get(upstream.send(order()));
            ByteString first =
                    served.body()
                            .runWith(Sink.head(), system)
                            .toCompletableFuture()
                            .get(5, TimeUnit.SECONDS);
            assertEquals("first", first.utf8String());
            await().until(() -> server.sockets.get(0).isClosed());
            get(upstream.send(order()));
        }
    }

    @Test
    void cancellingBeforeTheAnswerClosesTheConnection() throws Exception {
        try (RawServer server = new RawServer(RawServer::awaitGone)) {
            CompletableFuture<Answer.Served> answer =
                    to(server.url()).send(request("GET", "/slow", List.of(), ""));
            await().until(() -> server.heads.size() == 1);
            answer.cancel(false);
            await().until(() -> server.sockets.get(0).isClosed());
        }
    }

    @Test
    void theDeadlineEndsTheWaitForAnAnswerThatNeverBegins() throws Exception {
        try (RawServer server = new RawServer(socket -> {})) {
            assertEquals(Code.MAY_HAVE_RUN, failure(to(server.url()).send(order())));
        }
    }

    @Test
    void theDeadlineEndsAnAnswerThatHangsInTheMiddle() throws Exception {
        try (RawServer server =
                new RawServer(
                        socket ->
                                RawServer.write(
                                        socket,
                                        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"))) {
            Answer.Served served = get(to(server.url()).send(order()));
            ExecutionException e = assertThrows(ExecutionException.class, () -> text(served));
            assertEquals("DEADLINE_EXCEEDED", ((ExchangeException) e.getCause()).codeName());
        }
    }

    @Test
    void moreThanTheSlotsIsRefusedAsNotSent() throws Exception {
        try (RawServer server = new RawServer(socket -> {})) {
            HttpUpstream upstream = builder(server.url()).maxRunning(1).build();
            CompletableFuture<Answer.Served> running = upstream.send(order());
            assertEquals(Code.NOT_SENT, failure(upstream.send(order())));
            running.cancel(false);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/a\r\nX: y", "/a b", "a", "/a\n"})
    void aPathThatWouldBreakTheRequestLineIsNotSent(String path) throws Exception {
        try (RawServer server = new RawServer(socket -> {})) {
            Request bad = request("GET", path, List.of(), "");
            assertEquals(Code.NOT_SENT, failure(to(server.url()).send(bad)));
        }
    }

    static HttpUpstream.Builder builder(URI url) {
        return HttpUpstream.builder()
                .system(system)
                .url(url)
                .connectTimeout(Duration.ofMillis(500))
                .clock(() -> NOW)
                .metrics(new Metrics());
    }

    private static HttpUpstream to(URI url) {
        return builder(url).build();
    }

    private static Request order() {
        return request("POST", "/order", List.of(), "slab");
    }

    static Request request(String method, String path, List<Header> headers, String body) {
        return new Request(
                new ExchangeId(Incarnation.of("router-1-1"), 1),
                WorkspaceId.of("kitchens"),
                KeyId.of("k1"),
                new Target.Service(ServiceName.of("orders")),
                method,
                path,
                headers,
                ByteString.fromString(body),
                NOW.plusSeconds(2),
                Optional.empty(),
                false,
                1);
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(10, TimeUnit.SECONDS);
    }

    private static String text(Answer.Served served) throws Exception {
        return served.body()
                .runFold(ByteString.emptyByteString(), ByteString::concat, system)
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS)
                .utf8String();
    }

    private static Code failure(CompletableFuture<?> future) {
        ExecutionException e =
                assertThrows(ExecutionException.class, () -> future.get(10, TimeUnit.SECONDS));
        return assertInstanceOf(UpstreamException.class, e.getCause()).code();
    }

    private static List<java.nio.channels.SocketChannel> fill(java.net.ServerSocket full)
            throws IOException {
        List<java.nio.channels.SocketChannel> fillers = new java.util.ArrayList<>();
        for (int i = 0; i < 8; i++) {
            java.nio.channels.SocketChannel filler = java.nio.channels.SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(full.getLocalSocketAddress());
            fillers.add(filler);
        }
        return fillers;
    }
}
