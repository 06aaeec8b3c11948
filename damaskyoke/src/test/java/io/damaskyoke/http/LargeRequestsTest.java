package io.damaskyoke.http;

import static org.awaitility.Awaitility.await;
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
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what becomes of large requests that do not fit in memory together. */
class LargeRequestsTest {
    private static final int LIMIT = 1 << 20;
    private static final int BODY_BYTES = 400_000;
    private static final int FIRST_BYTES = 300_000;
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(10);

    private final HttpLoop loop = HttpLoop.start();
    private final BodyMemory memory = new BodyMemory(LIMIT);
    private final List<Socket> sockets = new ArrayList<>();
    private final Queue<HttpCall> complete = new ConcurrentLinkedQueue<>();
    private final HttpServer server =
            HttpServer.start(
                    loop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    new HttpLimits(2_000, LIMIT, Duration.ofSeconds(10), WAIT_LIMIT),
                    this::handle);

    @BeforeEach
    void limitMemory() {
        loop.events().execute(() -> server.bodies(memory));
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket each : sockets) {
            each.close();
        }
        loop.close();
    }

    // Guards against bodies that together fill the memory, so that the thread stands still for all
    // callers.
    @Test
    void whatDoesNotFitIsRefusedAndTheOthersAreServed() throws Exception {
        Socket first = upload();
        Socket second = upload();
        Socket third = upload();
        await().atMost(WAIT_LIMIT).until(() -> bytes() > 3 * (FIRST_BYTES - 20_000));
        String refused = answerTo(upload());
        assertTrue(refused.startsWith("HTTP/1.1 503"), refused);
        assertTrue(refused.toLowerCase().contains("retry-after: 1"), refused);
        assertTrue(answerTo(send("GET /small HTTP/1.1\r\n\r\n")).startsWith("HTTP/1.1 200"));
        finish(first);
        finish(second);
        assertTrue(answerTo(third).startsWith("HTTP/1.1 503"));
        await().atMost(WAIT_LIMIT).until(() -> complete.size() == 2);
        loop.events().execute(() -> complete.forEach(LargeRequestsTest::answer));
        assertTrue(answerTo(first).startsWith("HTTP/1.1 200"));
        assertTrue(answerTo(second).startsWith("HTTP/1.1 200"));
        await().atMost(WAIT_LIMIT).until(() -> bytes() == 0);
        assertEquals(2, server.refusedForMemoryCount());
    }

    // Guards against memory that stays counted for callers that leave half-way.
    @Test
    void callersThatLeaveFreeTheirMemory() throws Exception {
        Socket socket = upload();
        await().atMost(WAIT_LIMIT).until(() -> bytes() > 0);
        socket.close();
        await().atMost(WAIT_LIMIT).until(() -> bytes() == 0);
    }

    // Large requests stay in memory until the test answers them.
    private void handle(HttpCall call) {
        if (call.target().equals("/large")) {
            complete.add(call);
        } else {
            answer(call);
        }
    }

    private static void answer(HttpCall call) {
        call.answer(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    private long bytes() {
        return CompletableFuture.supplyAsync(memory::bytes, loop.events()).join();
    }

    private Socket upload() throws IOException {
        Socket socket = send("POST /large HTTP/1.1\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
        socket.getOutputStream().write(new byte[FIRST_BYTES]);
        return socket;
    }

    private static void finish(Socket socket) throws IOException {
        socket.getOutputStream().write(new byte[BODY_BYTES - FIRST_BYTES]);
    }

    private Socket send(String head) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        sockets.add(socket);
        socket.setSoTimeout((int) WAIT_LIMIT.toMillis());
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String answerTo(Socket socket) throws IOException {
        byte[] read = new byte[1_000];
        int length = socket.getInputStream().read(read);
        return new String(read, 0, Math.max(0, length), StandardCharsets.US_ASCII);
    }
}
