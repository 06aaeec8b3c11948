package io.damaskyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SlowReaderTest {
    private static final int PART_BYTES = 16 * 1024;
    private static final int LARGE_BYTES = 12 << 20;
    private static final int LIMIT = 1 << 20;
    private static final int SLOW_CALLERS = 8;
    private static final int SMALL_RECEIVE_BUFFER = 8 * 1024;
    private static final Duration IDLE = Duration.ofMillis(100);
    private static final Duration OBJECTIVE = Duration.ofMillis(400);
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(10);

    private final HttpLoop loop = HttpLoop.start();
    private final AtomicInteger canceled = new AtomicInteger();
    private final List<Socket> sockets = new ArrayList<>();
    private long mostUnread;
    private int slicesHeld;
    private final HttpServer server =
            HttpServer.start(
                    loop,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    new HttpLimits(2_000, 1_000, Duration.ofSeconds(1), IDLE),
                    this::handle);

    @AfterEach
    void stop() throws IOException {
        for (Socket each : sockets) {
            each.close();
        }
        loop.close();
    }

    // Guards against a sum that does not follow what the sockets take, and against runs at
    // upstreams that go on for callers whose connections were closed.
    @Test
    void callersThatReadNothingAreClosedAboveTheLimitAndTheirRunsCanceled() throws IOException {
        loop.events().execute(() -> server.maxUnread(LIMIT));
        for (int each = 0; each < SLOW_CALLERS; each++) {
            request("/stream");
        }
        await(() -> server.slowReadersClosed() >= SLOW_CALLERS - 4);
        assertServedOnTime();
        await(() -> canceled.get() == server.slowReadersClosed());
        onLoop(() -> mostUnread <= LIMIT);
        assertTrue(mostUnread > LIMIT / 2 && mostUnread <= LIMIT, "unread " + mostUnread);
        assertTrue(canceled.get() < SLOW_CALLERS, "closed " + canceled);
    }

    // Guards against a connection that stays open for ever because its response is never read.
    @Test
    void aCallerThatReadsNothingIsClosedAfterTheIdleTime() throws IOException {
        request("/large");
        await(() -> server.unreadBytes() > 0);
        await(() -> server.connections() == 0);
        await(() -> server.unreadBytes() == 0);
        assertEquals(0, server.slowReadersClosed());
    }

    // Guards against bytes that stay counted after they were read.
    @Test
    void aResponseThatIsReadLateIsCompleteAndLeavesNothingUnread() throws IOException {
        loop.events().execute(() -> server.limits(HttpLimits.defaults()));
        Socket caller = request("/large");
        await(() -> server.unreadBytes() > 0);
        byte[] read = caller.getInputStream().readNBytes(LARGE_BYTES);
        assertEquals(LARGE_BYTES, read.length);
        await(() -> server.unreadBytes() == 0);
    }

    // Guards against small parts that wait and hold the large buffers that they were read into.
    @Test
    void partsThatWaitHoldNoLargerBuffer() throws IOException {
        request("/slices");
        await(() -> server.unreadBytes() > 0);
        onLoop(() -> slicesHeld == 0);
        assertEquals(0, slicesHeld);
    }

    private void handle(HttpCall call) {
        if (call.target().equals("/slices")) {
            call.start(200, new DefaultHttpHeaders());
            sendParts(call);
            for (int each = 0; each < 100; each++) {
                ByteBuf large = Unpooled.directBuffer(PART_BYTES).writeZero(PART_BYTES);
                call.part(large.readRetainedSlice(100));
                large.release();
                slicesHeld += large.refCnt();
            }
            return;
        }
        if (call.target().equals("/stream")) {
            call.onDisconnect(canceled::incrementAndGet);
            call.onWritable(() -> sendParts(call));
            call.start(200, new DefaultHttpHeaders());
            sendParts(call);
            return;
        }
        int size = call.target().equals("/large") ? LARGE_BYTES : 1;
        call.answer(200, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(new byte[size]));
    }

    private void sendParts(HttpCall call) {
        while (!call.over() && call.writable()) {
            call.part(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
            mostUnread = Math.max(mostUnread, server.unreadBytes());
        }
    }

    private void assertServedOnTime() throws IOException {
        long start = System.nanoTime();
        assertEquals('H', request("/short").getInputStream().read());
        Duration took = Duration.ofNanos(System.nanoTime() - start);
        assertTrue(took.compareTo(OBJECTIVE) <= 0, "served after " + took);
    }

    private Socket request(String path) throws IOException {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER);
        socket.setSoTimeout((int) WAIT_LIMIT.toMillis());
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
        String request = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private boolean onLoop(BooleanSupplier condition) {
        return loop.events().submit(condition::getAsBoolean).syncUninterruptibly().getNow();
    }

    private void await(BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!onLoop(condition)) {
            assertTrue(System.nanoTime() - start < WAIT_LIMIT.toNanos(), "not reached in time");
            loop.events().schedule(() -> {}, 10, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
