package io.damaskyoke.peer;

import static io.damaskyoke.peer.TestPeers.address;
import static io.damaskyoke.peer.TestPeers.count;
import static io.damaskyoke.peer.TestPeers.get;
import static io.damaskyoke.peer.TestPeers.network;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.wire.Chunk;
import io.damaskyoke.peer.wire.Draining;
import io.damaskyoke.peer.wire.Frame;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerNetworkTest {
    private static final Duration LONG = Duration.ofSeconds(60);
    private static final Frame DRAINING =
            Frame.newBuilder().setDraining(Draining.getDefaultInstance()).build();

    private final Metrics metrics = new Metrics();
    private final List<Frame> receivedFrames = new CopyOnWriteArrayList<>();
    private final AtomicInteger closed = new AtomicInteger();
    private final PeerNetwork router = network("router-1", new Metrics(), LONG).build().start();
    private PeerNetwork agent =
            network("agent-1", metrics, LONG).addListener(new Recorder()).build().start();

    @AfterEach
    void close() {
        router.close();
        agent.close();
    }

    @Test
    void framesToAnAddressShareOneLink() throws Exception {
        PeerLink link = get(router.connect(address("agent-1", agent.port())));
        assertSame(link, router.link(address("agent-1", agent.port())));
        assertTrue(link.send(DRAINING));
        await().until(() -> receivedFrames.stream().anyMatch(Frame::hasDraining));
    }

    @Test
    void heartbeatsAreSentOnAnOpenLink() throws Exception {
        get(router.connect(address("agent-1", agent.port())));
        await().until(() -> receivedFrames.stream().filter(Frame::hasHeartbeat).count() >= 3);
    }

    @Test
    void aFrameAboveTheLimitIsNotSentAndTheLinkStaysOpen() throws Exception {
        PeerLink link = get(router.connect(address("agent-1", agent.port())));
        ByteString large = ByteString.copyFrom(new byte[TestPeers.MAX_FRAME]);
        Chunk chunk = Chunk.newBuilder().setData(large).build();
        assertFalse(link.send(Frame.newBuilder().setChunk(chunk).build()));
        assertTrue(link.send(DRAINING));
        await().until(() -> receivedFrames.stream().anyMatch(Frame::hasDraining));
    }

    // The address of a replaced VM is given to another VM while the router still expects the old
    // one. It must send no requests there, or a payment meant for one service would reach another.
    @Test
    void aConnectionIsRejectedIfAnotherVmAnswersAtTheAddress() {
        ExecutionException thrown =
                assertThrows(
                        ExecutionException.class,
                        () -> get(router.connect(address("agent-9", agent.port()))));
        assertEquals("REJECTED", ((PeerException) thrown.getCause()).codeName());
    }

    // An agent restarts at the same address. The router is notified once that the link closed,
    // sends
    // nothing on it any more, and its next connect gives a link to the new incarnation.
    @Test
    void aRestartAtTheSameAddressGivesAnotherIncarnation() throws Exception {
        AtomicInteger routerClosed = new AtomicInteger();
        router.addListener(new CountingListener(routerClosed));
        int port = agent.port();
        PeerLink first = get(router.connect(address("agent-1", port)));
        agent.close();
        await().until(() -> routerClosed.get() == 1);
        assertFalse(first.send(DRAINING));
        agent = network("agent-1", "agent-1:2", port, metrics, LONG).build().start();
        PeerLink second = get(router.connect(address("agent-1", port)));
        assertNotEquals(first.incarnation(), second.incarnation());
        assertEquals(1, routerClosed.get());
    }

    @Test
    void invalidDataOnThePeerPortIsRejectedAndOtherLinksStayOpen() throws Exception {
        PeerLink link = get(router.connect(address("agent-1", agent.port())));
        byte[] random = new byte[5_000];
        new Random(3).nextBytes(random);
        random[0] = 0;
        random[1] = 0;
        byte[] tls = {0x16, 3, 1, 2, 0, 1, 0, 1, (byte) 0xfc, 3, 3};
        sendAndSeeItClosed("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        sendAndSeeItClosed(tls);
        sendAndSeeItClosed(random);
        sendAndSeeItClosed(new byte[4]);
        sendAndSeeItClosed(new byte[] {0, 0, 0, 3, (byte) 0xff, (byte) 0xff, (byte) 0xff});
        assertTrue(rejected("oversize") >= 2);
        assertEquals(1, rejected("not_hello"));
        assertTrue(link.send(DRAINING));
        await().until(() -> receivedFrames.stream().anyMatch(Frame::hasDraining));
        assertEquals(0, closed.get());
    }

    @Test
    void anIncompleteHelloTimesOut() throws Exception {
        try (PeerNetwork strict =
                network("agent-2", metrics, Duration.ofMillis(300)).build().start()) {
            try (Socket socket = new Socket("127.0.0.1", strict.port())) {
                socket.getOutputStream().write(new byte[] {0, 0, 0, 90, 1});
                drain(socket);
            }
            assertEquals(1, rejected("no_hello"));
        }
    }

    @Test
    void aSilentLinkIsClosed() throws Exception {
        try (PeerNetwork strict =
                network("agent-2", metrics, Duration.ofMillis(300))
                        .addListener(new Recorder())
                        .build()
                        .start()) {
            try (Socket socket = new Socket("127.0.0.1", strict.port())) {
                writeHello(socket, Handshake.VERSION, 0);
                drain(socket);
            }
            await().until(() -> closed.get() == 1);
        }
    }

    @Test
    void anotherVersionIsRejected() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", agent.port())) {
            writeHello(socket, Handshake.VERSION + 1, 0);
            drain(socket);
        }
        assertEquals(1, rejected("version"));
    }

    @Test
    void aPeerClockFarAheadIsCountedAndIgnored() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", agent.port())) {
            writeHello(socket, Handshake.VERSION, -1L);
            await().until(() -> count(metrics, "peer_clock_ahead") == 1);
        }
        PeerLink link = get(router.connect(address("agent-1", agent.port())));
        link.send(DRAINING);
        await().until(() -> receivedFrames.stream().anyMatch(Frame::hasDraining));
    }

    private long rejected(String reason) {
        return count(metrics, "peer_rejected{reason=\"" + reason + "\"}");
    }

    private void sendAndSeeItClosed(byte[] bytes) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", agent.port())) {
            socket.getOutputStream().write(bytes);
            drain(socket);
        }
    }

    private static void drain(Socket socket) throws Exception {
        socket.setSoTimeout(20_000);
        try {
            while (socket.getInputStream().read() >= 0) {
                Thread.onSpinWait();
            }
        } catch (java.net.SocketException reset) {
            return;
        }
    }

    private static void writeHello(Socket socket, int version, long sentAt) throws Exception {
        Frame hello =
                network("router-7", new Metrics(), LONG).helloFrame().toBuilder()
                        .setSentAt(sentAt)
                        .build();
        Frame changed =
                hello.toBuilder()
                        .setHello(hello.getHello().toBuilder().setVersion(version))
                        .build();
        OutputStream out = socket.getOutputStream();
        out.write(new byte[] {0, 0, 0, (byte) changed.getSerializedSize()});
        out.write(changed.toByteArray());
    }

    private record CountingListener(AtomicInteger closed) implements PeerListener {
        @Override
        public void received(PeerLink link, Frame frame) {}

        @Override
        public void closed(PeerLink link) {
            closed.incrementAndGet();
        }
    }

    private final class Recorder implements PeerListener {
        @Override
        public void received(PeerLink link, Frame frame) {
            receivedFrames.add(frame);
        }

        @Override
        public void closed(PeerLink link) {
            closed.incrementAndGet();
        }
    }
}
