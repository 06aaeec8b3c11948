package io.damaskyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.metrics.Metrics;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;

class HttpClientTest {
    private static final HttpLoop LOOP = HttpLoop.start();
    private static final Duration LIMIT = Duration.ofSeconds(10);
    private static final String OK = "HTTP/1.1 200 OK\r\nTry: <id>\r\nContent-Length: 2\r\n\r\nok";

    private final Metrics metrics = new Metrics();
    private final HttpClient client = new HttpClient(LOOP, Duration.ofMillis(500), metrics);
    private int askCount;

    @AfterAll
    static void stop() {
        LOOP.close();
    }

    @Test
    void aWholeAnswerKeepsTheConnection() {
        try (RawServer server = new RawServer(OK)) {
            assertEquals("200 ok", ask(server));
            assertEquals("200 ok", ask(server));
            assertEquals(1, server.connections());
        }
    }

    @Test
    void aRequestThatWantsAFreshConnectionGetsOne() {
        try (RawServer server = new RawServer(OK)) {
            assertEquals("200 ok", ask(server));
            assertEquals("200 ok", ask(server.endpoint(), Duration.ZERO));
            assertEquals(2, server.connections());
        }
    }

    @Test
    void aConnectionThatTheServerClosesIsNotReused() {
        String last =
                "HTTP/1.1 200 OK\r\nTry: <id>\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
        try (RawServer server = new RawServer(last)) {
            assertEquals("200 ok", ask(server));
            assertEquals("200 ok", ask(server));
            assertEquals(2, server.connections());
        }
    }

    @Test
    void anAnswerWithFewerBytesThanItSaysIsCutShort() {
        // The server declares five bytes, sends two and closes. If that passed for a success, the
        // caller would take half a response for a complete one.
        String cut =
                "HTTP/1.1 200 OK\r\nTry: <id>\r\nContent-Length: 5\r\n\r\nok" + RawServer.CLOSE;
        try (RawServer server = new RawServer(cut)) {
            assertEquals("CUT_SHORT", ask(server));
        }
    }

    @Test
    void aStreamWithoutItsLastChunkIsCutShort() {
        String cut =
                "HTTP/1.1 200 OK\r\nTry: <id>\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
                        + RawServer.CLOSE;
        try (RawServer server = new RawServer(cut)) {
            assertEquals("CUT_SHORT", ask(server));
        }
    }

    @Test
    void anAnswerWithoutALengthEndsWithItsConnection() {
        String open = "HTTP/1.1 200 OK\r\nTry: <id>\r\n\r\nok" + RawServer.CLOSE;
        try (RawServer server = new RawServer(open)) {
            assertEquals("200 ok", ask(server));
        }
    }

    @Test
    void anAnswerWithoutALengthThatIsResetIsCutShort() {
        // The connection is reset, so that it is unknown whether more bytes were to follow.
        String reset = "HTTP/1.1 200 OK\r\nTry: <id>\r\n\r\nok" + RawServer.RESET;
        try (RawServer server = new RawServer(reset)) {
            assertEquals("CUT_SHORT", ask(server));
        }
    }

    @Test
    void aConnectionThatEndsBeforeTheAnswerIsBroken() {
        try (RawServer server = new RawServer(RawServer.CLOSE)) {
            assertEquals("BROKEN", ask(server));
        }
    }

    @Test
    void anInvalidResponseIsGarbled() {
        try (RawServer server = new RawServer("nonsense\r\n\r\n" + RawServer.CLOSE)) {
            assertEquals("GARBLED", ask(server));
        }
    }

    @Test
    void aClosedPortIsReportedAsNotConnected() {
        try (ClosedPort closed = new ClosedPort()) {
            assertEquals("NOT_CONNECTED", ask(closed.endpoint(), LIMIT));
        }
    }

    @Test
    void aLateResponseToAnEarlierRequestIsSkipped() {
        // A server may send a second response to an earlier request. It arrives first on the reused
        // connection, and without a check of its headers would be taken for the next one's
        // response.
        String other = "HTTP/1.1 200 OK\r\nTry: 0\r\nContent-Length: 5\r\n\r\nother";
        try (RawServer server = new RawServer(other + OK)) {
            assertEquals("200 ok", ask(server));
            assertEquals(1, unmatchedAnswers("reason", "other_request"));
            assertEquals(1, unmatchedAnswers("server", server.endpoint().toString()));
        }
    }

    // Guards against an extra response to the first send that is taken for that to the second.
    @Test
    void aRequestThatIsSentAgainGoesOnAnotherConnection() {
        try (RawServer server = new RawServer(OK)) {
            assertEquals("200 ok", ask(server.endpoint(), "a", LIMIT));
            assertEquals("200 ok", ask(server.endpoint(), "b", LIMIT));
            assertEquals(1, server.connections());
            assertEquals("200 ok", ask(server.endpoint(), "a", LIMIT));
            assertEquals(2, server.connections());
        }
    }

    // Guards against an extra response without an id that is taken for that to the next request.
    @Test
    void aResponseWithoutAnIdIsSkippedOnAConnectionThatHasCarriedAnotherRequest() {
        String unnamed = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull";
        try (RawServer server = new RawServer(OK, unnamed + OK)) {
            assertEquals("200 ok", ask(server));
            assertEquals("200 ok", ask(server));
            assertEquals(1, unmatchedAnswers("reason", "unnamed"));
        }
    }

    // Guards against a server without ids whose second response would be awaited in vain.
    @Test
    void aServerThatNamesNoRequestsGetsAConnectionForEach() {
        try (RawServer server = new RawServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")) {
            assertEquals("200 ok", ask(server));
            assertEquals("200 ok", ask(server));
            assertEquals(2, server.connections());
        }
    }

    @Test
    void bytesOnAnIdleConnectionCloseIt() {
        try (RawServer server = new RawServer(OK + OK, OK)) {
            assertEquals("200 ok", ask(server));
            assertEquals("200 ok", ask(server));
            assertEquals(2, server.connections());
            assertEquals(1, unmatchedAnswers("reason", "no_request"));
        }
    }

    private long unmatchedAnswers(String label, String value) {
        String name = label.equals("server") ? "http_unmatched_answers" : "http_unmatched_reasons";
        return metrics.counter(name + "{" + label + "=\"" + value + "\"}").getCount();
    }

    private String ask(RawServer server) {
        return ask(server.endpoint(), LIMIT);
    }

    private String ask(Endpoint to, Duration idleLimit) {
        return ask(to, String.valueOf(++askCount), idleLimit);
    }

    private String ask(Endpoint to, String id, Duration idleLimit) {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        LOOP.events().execute(() -> send(to, id, idleLimit, outcome));
        return outcome.orTimeout(LIMIT.toSeconds(), TimeUnit.SECONDS).join();
    }

    private void send(
            Endpoint to, String id, Duration idleLimit, CompletableFuture<String> outcome) {
        ClientRequest request =
                new ClientRequest(
                        HttpMethod.GET,
                        "/",
                        new DefaultHttpHeaders().set("Try", id),
                        Unpooled.EMPTY_BUFFER,
                        ResponseMatch.byId(id, headers -> headers.getAll("Try")),
                        idleLimit);
        client.send(to, request, new Recorder(outcome));
    }

    /** Records a response as its status and body, and a failure as its name. */
    private static final class Recorder implements ResponseListener {
        private final CompletableFuture<String> outcome;
        private final StringBuilder text = new StringBuilder();

        Recorder(CompletableFuture<String> outcome) {
            this.outcome = outcome;
        }

        @Override
        public void head(int status, HttpHeaders headers) {
            text.append(status).append(' ');
        }

        @Override
        public void part(ByteBuf data) {
            text.append(data.toString(StandardCharsets.US_ASCII));
            data.release();
        }

        @Override
        public void end() {
            outcome.complete(text.toString());
        }

        @Override
        public void failed(ExchangeFailure failure) {
            outcome.complete(failure.name());
        }
    }
}
