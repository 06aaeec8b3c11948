package io.damaskyoke.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class UnreadResponsesTest {
    private static final int KB = 1024;
    private static final long LIMIT = 16 * KB * KB;
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final List<String> lines = new ArrayList<>();
    private final UnreadResponses unread = new UnreadResponses(lines::add);
    private final List<Caller> slow = new ArrayList<>();

    // Guards against slow callers that fill the memory of a small router, and against a choice that
    // closes callers which read what they are sent.
    @Test
    void twoHundredSlowCallersLeaveMemoryBoundedAndCloseNoOtherCaller() {
        unread.limit(LIMIT);
        List<Caller> others = addCallers(50);
        long most = playSlowCallers(200, others);
        assertTrue(most <= LIMIT, "unread " + most);
        assertTrue(unread.closed() > 0);
        assertTrue(others.stream().noneMatch(each -> each.closed));
        assertTrue(slow.stream().anyMatch(each -> !each.closed));
    }

    // Guards against a simulated load that stays below the limit and so does not test it.
    @Test
    void withoutTheLimitTheSameCallersLeaveThreeTimesAsMuch() {
        unread.limit(1024 * LIMIT);
        assertTrue(playSlowCallers(200, addCallers(50)) > 3 * LIMIT);
    }

    // Guards against closing callers that take a little while others take nothing.
    @Test
    void whenAllCallersAreSlowTheSlowestAreClosedFirst() {
        unread.limit(10 * 100 * KB);
        List<Caller> callers = addCallers(10);
        callers.forEach(each -> each.write(100 * KB, 0));
        callers.subList(0, 7).forEach(each -> each.takePart(KB));
        unread.refresh(SECOND);
        Caller late = new Caller();
        late.write(300 * KB, 2 * SECOND);
        assertTrue(callers.subList(7, 10).stream().allMatch(each -> each.closed));
        assertFalse(late.closed);
        assertEquals(3, unread.closed());
    }

    // Guards against closing a caller that is taking one large response, as it leaves most bytes.
    @Test
    void aCallerThatTakesALargeResponseIsNotClosedInPlaceOfASlowOne() {
        unread.limit(LIMIT);
        List<Caller> callers = addCallers(48);
        callers.forEach(each -> each.write(UnreadResponses.MAX_PER_CONNECTION, 0));
        Caller large = new Caller();
        large.write(4 * KB * KB, SECOND);
        large.takePart(64 * KB);
        callers.get(0).takePart(KB);
        new Caller().write(KB, 2 * SECOND);
        assertEquals(1, unread.closed());
        assertTrue(callers.get(1).closed);
    }

    // Guards against closing callers whose few unread bytes free hardly any memory.
    @Test
    void aCallerThatLeavesFewBytesIsNotClosed() {
        unread.limit(LIMIT);
        List<Caller> callers = addCallers(100);
        callers.forEach(each -> each.write(KB, 0));
        playSlowCallers(200, List.of());
        assertTrue(callers.stream().noneMatch(each -> each.closed));
    }

    // Guards against a log that slow callers fill.
    @Test
    void closedConnectionsAreLoggedOnceASecondAtMost() {
        unread.limit(64 * KB);
        for (int each = 0; each < 100; each++) {
            new Caller().write(40 * KB, each * SECOND / 10);
            unread.refresh(each * SECOND / 10);
        }
        assertTrue(lines.size() >= 9 && lines.size() <= 10, lines.toString());
    }

    // Each slow caller is sent 64 KB a second until it leaves too much unread, and takes 1 KB a
    // second; the others are sent as much and take it within a tenth of a second.
    private long playSlowCallers(int count, List<Caller> others) {
        slow.addAll(addCallers(count));
        long most = 0;
        for (long now = 0; now < 30 * SECOND; now += SECOND / 10) {
            for (Caller each : others) {
                each.take((int) each.unreadBytes, now);
                each.write(6 * KB, now);
            }
            for (Caller each : slow) {
                if (each.unreadBytes < UnreadResponses.MAX_PER_CONNECTION) {
                    each.write(6 * KB, now);
                }
                if (now % SECOND == 0) {
                    each.take(KB, now);
                }
                most = Math.max(most, unread.bytes());
            }
            unread.refresh(now);
        }
        return most;
    }

    private List<Caller> addCallers(int count) {
        List<Caller> callers = new ArrayList<>();
        for (int each = 0; each < count; each++) {
            callers.add(new Caller());
        }
        return callers;
    }

    private final class Caller implements UnreadResponses.Reader {
        private long unreadBytes;
        private long takenBytes;
        private boolean closed;

        void write(int bytes, long now) {
            if (!closed) {
                unreadBytes += bytes;
                unread.written(this, bytes, now);
            }
        }

        void take(int bytes, long now) {
            if (!closed && bytes > 0) {
                unreadBytes -= bytes;
                takenBytes += bytes;
                unread.taken(this, bytes, now);
            }
        }

        /** Takes a part of a message that is held until it is taken whole. */
        void takePart(int bytes) {
            takenBytes += bytes;
        }

        @Override
        public long takenBytes() {
            return takenBytes;
        }

        @Override
        public void closeSlow() {
            closed = true;
            unread.taken(this, unreadBytes, 0);
        }
    }
}
