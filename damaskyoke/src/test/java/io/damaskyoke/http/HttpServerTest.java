package io.damaskyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpServerTest {
    private static final int LIMIT_MILLIS = 10_000;

    private final HttpLoop loop = HttpLoop.start();
    private final List<String> handled = new CopyOnWriteArrayList<>();
    private final CompletableFuture<String> gone = new CompletableFuture<>();
    private final HttpServer server =
            HttpServer.start(
                    loop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    new HttpLimits(2_000, 1_000, Duration.ofMillis(300), Duration.ofSeconds(30)),
                    this::handle);

    @AfterEach
    void stop() {
        loop.close();
    }

    @Test
    void requestsOnOneConnectionAreAnsweredInOrder() throws IOException {
        String two = get("/a") + get("/b") + get("/last");
        String answers = talk(two);
        assertTrue(answers.indexOf("got /a") < answers.indexOf("got /b"), answers);
        assertEquals(List.of("/a", "/b", "/last"), handled);
    }

    @Test
    void aCallerThatConnectsBeforeThereIsAServerIsAnswered() throws IOException {
        // A restarted process listens first and serves most of a second later. A caller that
        // connects meanwhile waits; a port without a listener would refuse its connection.
        InetAddress loopback = InetAddress.getLoopbackAddress();
        var socket = EarlySocket.listen(new InetSocketAddress(loopback, 0));
        int port = ((InetSocketAddress) socket.getLocalAddress()).getPort();
        try (Socket caller = new Socket(loopback, port)) {
            caller.setSoTimeout(LIMIT_MILLIS);
            caller.getOutputStream().write(get("/last").getBytes(StandardCharsets.US_ASCII));
            loop.events()
                    .execute(
                            () ->
                                    HttpServer.adopt(
                                            loop, socket, HttpLimits.defaults(), this::handle));
            byte[] start = caller.getInputStream().readNBytes(12);
            assertEquals("HTTP/1.1 200", new String(start, StandardCharsets.US_ASCII));
        }
    }

    @Test
    void aRequestWithTwoLengthsIsRejectedAndItsConnectionClosed() throws IOException {
        // By its length the body contains a second request; by its chunks the body ends before it.
        // An upstream that reads it the other way would run a request that was never authorized.
        String smuggled =
                "POST /a HTTP/1.1\r\n"
                        + "Host: h\r\n"
                        + "Content-Length: 40\r\n"
                        + "Transfer-Encoding: chunked\r\n"
                        + "\r\n"
                        + "0\r\n\r\n"
                        + get("/hidden");
        assertTrue(talk(smuggled).startsWith("HTTP/1.1 400"));
        assertEquals(List.of(), handled);
    }

    @Test
    void aTransferCodingThatIsNotKnownIsRefused() throws IOException {
        String odd =
                "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"
                        + get("/hidden");
        assertTrue(talk(odd).startsWith("HTTP/1.1 400"));
        assertEquals(List.of(), handled);
    }

    @Test
    void differentLengthsAreRefused() throws IOException {
        String odd =
                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 30\r\n\r\n"
                        + get("/hidden");
        assertTrue(talk(odd).startsWith("HTTP/1.1 400"));
        assertEquals(List.of(), handled);
    }

    @Test
    void tooLargeAHeaderOrABodyIsRefused() throws IOException {
        String header = "GET /a HTTP/1.1\r\nHost: h\r\nLong: " + "x".repeat(3_000) + "\r\n\r\n";
        assertTrue(talk(header).startsWith("HTTP/1.1 431"));
        String body = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n";
        assertTrue(talk(body + "x".repeat(2_000)).startsWith("HTTP/1.1 413"));
        assertEquals(List.of(), handled);
    }

    @Test
    void anIncompleteRequestTimesOut() throws IOException {
        assertTrue(talk("GET /a HTTP/1.1\r\nHost").startsWith("HTTP/1.1 408"));
    }

    @Test
    void aDisconnectOfTheCallerIsReportedAtOnce() throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(get("/never").getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            while (handled.isEmpty()) {
                Thread.onSpinWait();
            }
        }
        assertEquals("/never", gone.orTimeout(LIMIT_MILLIS, TimeUnit.MILLISECONDS).join());
    }

    @Test
    void anAbortedAnswerLacksItsLastChunk() throws IOException {
        String cut = talk(get("/abort"));
        assertTrue(cut.contains("begun"), cut);
        assertTrue(!cut.contains("\r\n0\r\n"), cut);
    }

    @Test
    void aDrainingServerClosesEachConnectionAfterItsResponse() throws IOException {
        loop.events().submit(server::drain).syncUninterruptibly();
        String answer = talk(get("/a") + get("/b"));
        assertTrue(answer.toLowerCase().contains("connection: close"), answer);
        assertEquals("/a", handled.get(0));
    }

    private void handle(HttpCall call) {
        handled.add(call.target());
        call.onDisconnect(() -> gone.complete(call.target()));
        if (call.target().equals("/never")) {
            return;
        }
        if (call.target().equals("/abort")) {
            call.start(200, new DefaultHttpHeaders());
            call.part(Unpooled.copiedBuffer("begun", StandardCharsets.US_ASCII));
            loop.events().schedule(call::abort, 50, TimeUnit.MILLISECONDS);
            return;
        }
        String text = "got " + call.target();
        call.answer(
                200,
                new DefaultHttpHeaders(),
                Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private static String get(String path) {
        String close = path.equals("/last") ? "Connection: close\r\n" : "";
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + close + "\r\n";
    }

    // Sends the text and reads until the server closes the connection.
    private String talk(String text) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(LIMIT_MILLIS);
        return socket;
    }
}
