package io.damaskyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Each answer goes to its own request, and none to a request that has had one. */
class CallerAnswersTest {
    private static final int LIMIT_MILLIS = 10_000;
    private static final int BODY_BYTES = 1_000;
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d+)");

    private final HttpLoop loop = HttpLoop.start();
    private final Map<String, HttpCall> kept = new ConcurrentHashMap<>();
    private final HttpServer server =
            HttpServer.start(
                    loop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    new HttpLimits(
                            2_000, BODY_BYTES, Duration.ofMillis(300), Duration.ofSeconds(1)),
                    this::handle);

    @AfterEach
    void stop() {
        loop.close();
    }

    // Guards against a rejection that is written when its request arrives, and that the caller
    // takes for the answer to the request before it, which runs.
    @Test
    void aTooLargeRequestIsRejectedAfterTheAnswerToTheOneBeforeIt() throws IOException {
        assertEquals(List.of("200", "413"), statuses(talk(request("GET", "/slow") + tooLarge())));
    }

    // Guards against a rejection that is written when its request arrives, before the answers to
    // requests that are still queued.
    @Test
    void aTooLargeRequestIsRejectedAfterTheAnswersToQueuedOnes() throws IOException {
        String three = request("GET", "/slow") + request("GET", "/a") + tooLarge();
        assertEquals(List.of("200", "200", "413"), statuses(talk(three)));
    }

    // Guards against a request that is cut off because of the one after it.
    @Test
    void anAmbiguousRequestIsRejectedAfterTheAnswerToTheOneBeforeIt() throws IOException {
        String two = "GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: odd\r\n\r\n";
        assertEquals(List.of("200", "400"), statuses(talk(request("GET", "/slow") + two)));
    }

    // Guards against a timeout that answers a rejected request again, when the caller may have
    // sent its next one.
    @Test
    void aTooLargeRequestIsAnsweredOnce() throws IOException {
        assertEquals(List.of("413"), statuses(talk(tooLarge())));
    }

    // Guards against a timeout that answers a rejected request again, when the caller may have
    // sent its next one.
    @Test
    void aRequestWithAnUnknownExpectationIsAnsweredOnce() throws IOException {
        String odd = "POST /a HTTP/1.1\r\nHost: h\r\nExpect: much\r\nContent-Length: 9\r\n\r\n";
        assertEquals(List.of("417"), statuses(talk(odd)));
    }

    // Guards against a timeout that is sent on an idle connection, as an empty line after a body
    // counts as the beginning of a request.
    @Test
    void anEmptyLineAfterARequestIsNotAnswered() throws IOException {
        String hi = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
        try (Socket socket = connect()) {
            write(socket, hi);
            socket.getInputStream().readNBytes("HTTP/1.1 200".length());
            write(socket, "\r\n");
            assertEquals(List.of(), statuses(read(socket)));
        }
    }

    // Guards against the end of a stream that is sent to a caller that awaits no body, and that
    // reads it as the beginning of its next answer.
    @Test
    void theAnswerAfterABodilessStreamFollowsItsHeaders() throws IOException {
        String answers = talk(request("HEAD", "/stream") + request("GET", "/last"));
        assertEquals(List.of("200", "200"), statuses(answers));
        assertFalse(answers.contains("begun"), answers);
        assertFalse(answers.contains("0\r\n\r\nHTTP"), answers);
        assertTrue(answers.endsWith("got /last"), answers);
    }

    // Guards against a second answer to one request that the caller takes for that to its next one.
    @Test
    void aCallThatIsAnsweredTwiceIsAnsweredOnce() throws IOException {
        String answers = talk(request("GET", "/twice") + request("GET", "/last"));
        assertEquals(List.of("200", "200"), statuses(answers));
        assertTrue(answers.endsWith("got /last"), answers);
    }

    // Guards against an answer in the middle of a stream, after which the answer to the next
    // request is sent as the rest of the stream.
    @Test
    void anAnswerAfterAStreamHasBegunCutsTheStream() throws IOException {
        String answers = talk(request("GET", "/both") + request("GET", "/stream"));
        assertEquals(List.of("200"), statuses(answers));
        assertTrue(answers.contains("begun"), answers);
        assertFalse(answers.contains("\r\n0\r\n"), answers);
    }

    // Guards against a stream that begins twice.
    @Test
    void aStreamThatBeginsTwiceIsCut() throws IOException {
        String answers = talk(request("GET", "/again") + request("GET", "/last"));
        assertEquals(List.of("200"), statuses(answers));
        assertFalse(answers.contains("\r\n0\r\n"), answers);
    }

    // Guards against the answer to a request that was queued behind a stream, sent as the rest of
    // the stream after it was aborted.
    @Test
    void nothingFollowsAnAbortedStream() throws IOException {
        String answers = talk(request("GET", "/abort") + request("GET", "/last"));
        assertEquals(List.of("200"), statuses(answers));
        assertFalse(answers.contains("got /last"), answers);
    }

    // Guards against an answer to a caller that has disconnected, sent on the connection that
    // followed it.
    @Test
    void anAnswerAfterItsConnectionHasEndedIsSentToNobody() throws IOException {
        try (Socket gone = connect()) {
            write(gone, request("GET", "/kept"));
            await("/kept");
        }
        while (!kept.get("/kept").over()) {
            Thread.onSpinWait();
        }
        try (Socket next = connect()) {
            write(next, request("GET", "/kept-next"));
            await("/kept-next");
            loop.events().submit(() -> answer(kept.get("/kept"))).syncUninterruptibly();
            loop.events().submit(() -> answer(kept.get("/kept-next"))).syncUninterruptibly();
            write(next, request("GET", "/last"));
            String answers = read(next);
            assertFalse(answers.contains("got /kept\n"), answers);
            assertTrue(answers.contains("got /kept-next\n"), answers);
            assertEquals(List.of("200", "200"), statuses(answers));
        }
    }

    private void handle(HttpCall call) {
        switch (call.target()) {
            case "/slow" -> loop.events().schedule(() -> answer(call), 50, TimeUnit.MILLISECONDS);
            case "/kept", "/kept-next" -> kept.put(call.target(), call);
            case "/twice" -> {
                answer(call);
                answer(call);
            }
            case "/stream" -> {
                begin(call);
                call.end();
            }
            case "/both" -> {
                begin(call);
                answer(call);
            }
            case "/again" -> {
                begin(call);
                begin(call);
                call.end();
            }
            case "/abort" -> {
                begin(call);
                loop.events().schedule(call::abort, 50, TimeUnit.MILLISECONDS);
            }
            default -> answer(call);
        }
    }

    private static void begin(HttpCall call) {
        call.start(200, new DefaultHttpHeaders());
        call.part(bytes("begun"));
    }

    private static void answer(HttpCall call) {
        String end = call.target().startsWith("/kept") ? "\n" : "";
        call.answer(200, new DefaultHttpHeaders(), bytes("got " + call.target() + end));
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private static String request(String method, String path) {
        String close = path.equals("/last") ? "Connection: close\r\n" : "";
        return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + close + "\r\n";
    }

    private static String tooLarge() {
        int length = BODY_BYTES + 1;
        return "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: "
                + length
                + "\r\n\r\n"
                + "x".repeat(length);
    }

    private static List<String> statuses(String answers) {
        List<String> found = new ArrayList<>();
        STATUS.matcher(answers).results().forEach(each -> found.add(each.group(1)));
        return found;
    }

    private void await(String target) {
        while (!kept.containsKey(target)) {
            Thread.onSpinWait();
        }
    }

    // Sends the text and reads until the server closes the connection.
    private String talk(String text) throws IOException {
        try (Socket socket = connect()) {
            write(socket, text);
            return read(socket);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private static String read(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(LIMIT_MILLIS);
        return socket;
    }
}
