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
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests how a server treats requests that arrived while its thread was stalled. */
class StalledLoopTest {
    private static final int LIMIT_MILLIS = 10_000;
    private static final int CALLERS = 5;

    /** A loop that was stalled for this long dates the requests it finds into the stall. */
    private static final int STALL_MILLIS = 250;

    private final HttpLoop loop = HttpLoop.start();
    private final List<String> handled = new CopyOnWriteArrayList<>();
    private final Map<String, Long> arrivedNanos = new ConcurrentHashMap<>();
    private final HttpServer server =
            HttpServer.start(
                    loop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    HttpLimits.defaults(),
                    this::handle);

    @AfterEach
    void stop() {
        loop.close();
    }

    // Guards against work for callers that disconnected while the thread was stalled: a new
    // connection is accepted in one read pass, its request read in the next and its end in the
    // third.
    @Test
    void requestsOfDisconnectedCallersOnNewConnectionsAreNotServed() throws Exception {
        CountDownLatch hold = stallLoop();
        for (int each = 0; each < CALLERS; each++) {
            try (Socket caller = connect()) {
                send(caller, "/left");
            }
        }
        hold.countDown();
        try (Socket caller = connect()) {
            ask(caller, "/stays");
        }
        assertEquals(List.of("/stays"), handled);
    }

    // Guards against the same on connections that were open before the thread was stalled.
    @Test
    void requestsOfDisconnectedCallersOnKeptConnectionsAreNotServed() throws Exception {
        Socket[] callers = new Socket[CALLERS];
        for (int each = 0; each < CALLERS; each++) {
            callers[each] = connect();
            ask(callers[each], "/before");
        }
        handled.clear();
        CountDownLatch hold = stallLoop();
        for (Socket caller : callers) {
            send(caller, "/left");
            caller.close();
        }
        hold.countDown();
        try (Socket caller = connect()) {
            ask(caller, "/stays");
        }
        assertEquals(List.of("/stays"), handled);
    }

    // Guards against a request that lay unread for seconds and gets its whole timeout again.
    @Test
    void theArrivalTimeOfARequestLiesWithinTheStall() throws Exception {
        try (Socket kept = connect();
                Socket fresh = new Socket()) {
            ask(kept, "/before");
            CountDownLatch hold = stallLoop();
            fresh.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
            send(kept, "/kept");
            send(fresh, "/fresh");
            Thread.sleep(STALL_MILLIS);
            long released = System.nanoTime();
            hold.countDown();
            read(kept);
            read(fresh);
            assertTrue(arrivedNanos.get("/kept") - released < 0, "on a kept connection");
            assertTrue(arrivedNanos.get("/fresh") - released < 0, "on a new connection");
        }
    }

    private void handle(HttpCall call) {
        handled.add(call.target());
        arrivedNanos.put(call.target(), call.arrivedNanos());
        call.answer(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    private CountDownLatch stallLoop() throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch hold = new CountDownLatch(1);
        loop.events()
                .execute(
                        () -> {
                            held.countDown();
                            try {
                                hold.await(LIMIT_MILLIS, TimeUnit.MILLISECONDS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        held.await();
        return hold;
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.port());
        caller.setSoTimeout(LIMIT_MILLIS);
        return caller;
    }

    private static void ask(Socket caller, String path) throws IOException {
        send(caller, path);
        read(caller);
    }

    private static void send(Socket caller, String path) throws IOException {
        String request = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
        caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    // The answers have no body, so they end with their first empty line.
    private static void read(Socket caller) throws IOException {
        StringBuilder answer = new StringBuilder();
        while (answer.indexOf("\r\n\r\n") < 0) {
            answer.append((char) caller.getInputStream().read());
        }
        assertTrue(answer.toString().startsWith("HTTP/1.1 200"), answer.toString());
    }
}
