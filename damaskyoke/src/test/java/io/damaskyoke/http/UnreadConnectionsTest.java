package io.damaskyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UnreadConnectionsTest {
    private static final long SHORT_PASS = Duration.ofMillis(1).toNanos();
    private static final long LONG_PASS = Duration.ofMillis(150).toNanos();
    private static final long TOO_LONG = Duration.ofMillis(300).toNanos();
    private static final int MANY = 200;

    private final UnreadConnections unread = new UnreadConnections();
    private final List<Connection> connections = new ArrayList<>();

    @Test
    void aFewConnectionsAreAllReadInTheNextPass() {
        add(5, 0);
        unread.admit(SHORT_PASS, SHORT_PASS);
        assertEquals(5, read());
        assertFalse(unread.anyWaiting());
    }

    @Test
    void theOldestAreReadFirst() {
        add(MANY, 0);
        unread.admit(SHORT_PASS, SHORT_PASS);
        assertTrue(connections.get(0).read);
        assertFalse(connections.get(MANY - 1).read);
        assertTrue(unread.anyWaiting());
    }

    @Test
    void afterLongPassesOnlyOneConnectionIsReadAtATime() {
        add(MANY, 0);
        for (int pass = 0; pass < 6; pass++) {
            unread.admit(0, LONG_PASS);
        }
        int before = read();
        unread.admit(0, LONG_PASS);
        assertEquals(before + 1, read());
    }

    // Guards against a server that never reads as many again once it was overloaded.
    @Test
    void afterShortPassesManyConnectionsAreReadAgain() {
        for (int pass = 0; pass < 6; pass++) {
            unread.admit(0, LONG_PASS);
        }
        for (int pass = 0; pass < MANY; pass++) {
            unread.admit(0, SHORT_PASS);
        }
        add(60, 0);
        unread.admit(0, SHORT_PASS);
        assertEquals(60, read());
    }

    @Test
    void connectionsThatHaveWaitedTooLongAreClosedUnread() {
        add(MANY, 0);
        unread.admit(TOO_LONG, SHORT_PASS);
        int closed = (int) connections.stream().filter(each -> each.closed).count();
        assertEquals(MANY, read() + closed);
        assertEquals(closed, unread.closed());
        assertTrue(closed > 0);
        assertFalse(unread.anyWaiting());
    }

    // Guards against a stall of the thread that is taken for overload.
    @Test
    void aStallClosesNoConnectionThatTheNextPassCanServe() {
        add(5, 0);
        unread.admit(TOO_LONG, TOO_LONG);
        assertEquals(5, read());
        assertEquals(0, unread.closed());
    }

    // Guards against a router that gets most new connections, reads more requests than it can
    // serve, and so serves hardly any before their callers leave.
    @ParameterizedTest
    @CsvSource({"0.12, 10", "0.12, 40", "0.15, 10", "0.15, 40"})
    void nearlyAllRequestsThatAreReadAreServedUnderManyTimesTheUsualConnections(
            double core, int times) {
        OverloadedLoop usual = new OverloadedLoop(core, 1, true);
        usual.play();
        assertTrue(usual.servedPart() > 0.95, "usually " + usual);
        OverloadedLoop flooded = new OverloadedLoop(core, times, true);
        flooded.play();
        assertTrue(flooded.servedPart() >= 0.75 * usual.servedPart(), flooded.toString());
        assertTrue(flooded.served() >= usual.served(), flooded + ", usually " + usual);
    }

    // Guards against a simulation that finds no faults.
    @Test
    void aServerThatReadsAllConnectionsServesFewOfThem() {
        OverloadedLoop flooded = new OverloadedLoop(0.12, 10, false);
        flooded.play();
        assertTrue(flooded.servedPart() < 0.5, flooded.toString());
    }

    private void add(int count, long nowNanos) {
        for (int each = 0; each < count; each++) {
            Connection connection = new Connection();
            connections.add(connection);
            unread.add(connection, nowNanos);
        }
    }

    private int read() {
        return (int) connections.stream().filter(each -> each.read).count();
    }

    private static final class Connection implements UnreadConnections.Unread {
        private boolean read;
        private boolean closed;

        @Override
        public void startReading() {
            read = true;
        }

        @Override
        public void closeUnread() {
            closed = true;
        }
    }
}
