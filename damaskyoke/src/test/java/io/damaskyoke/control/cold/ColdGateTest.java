package io.damaskyoke.control.cold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ColdGateTest {
    private static final int SHARE = 2;
    private static final Duration COLD_TIME = Duration.ofSeconds(3);

    private final ColdGate gate = new ColdGate();
    private Instant now = Instant.ofEpochSecond(100);

    @BeforeEach
    void limit() {
        gate.setLimit(new ColdLimit(COLD_TIME, 48.5));
    }

    @Test
    void anUpstreamThatIsNeverColdIsNotLimited() {
        gate.setLimit(ColdLimit.NONE);
        gate.connectionLost(now);
        assertEquals(100, sendAll());
    }

    @Test
    void aColdUpstreamGetsTheShareInEachSecond() {
        gate.upstreamReported(COLD_TIME, now);
        assertEquals(SHARE, sendAll());
        advance(900);
        assertEquals(0, sendAll());
        advance(200);
        assertEquals(SHARE, sendAll());
    }

    // Guards against a burst of requests to an upstream that is back before the list reports it
    // cold.
    @Test
    void aLostUpstreamIsColdUntilTheColdTimeAfterItsFirstAnswer() {
        gate.connectionLost(now);
        advance(60_000);
        assertTrue(gate.isCold(now));
        gate.answerReceived(now);
        advance(2_900);
        assertTrue(gate.isCold(now));
        advance(200);
        assertFalse(gate.isCold(now));
    }

    // Guards against seconds of reduced rate for an upstream with a single broken connection.
    @Test
    void aRecentEntryEndsTheColdStateOfALostUpstream() {
        gate.connectionLost(now);
        advance(1_900);
        gate.upstreamReported(Duration.ZERO, now);
        assertTrue(gate.isCold(now));
        advance(200);
        gate.upstreamReported(Duration.ZERO, now);
        assertFalse(gate.isCold(now));
    }

    // Guards against an entry that was written before the upstream became cold.
    @Test
    void aWarmReportRightAfterAColdOneChangesNothing() {
        gate.upstreamReported(COLD_TIME, now);
        advance(100);
        gate.upstreamReported(Duration.ZERO, now);
        assertTrue(gate.isCold(now));
    }

    // Guards against trusting an entry that is older than the router's own process.
    @Test
    void aStartedRouterTreatsUnverifiedUpstreamsAsCold() {
        gate.markUnverified(now);
        assertTrue(gate.isCold(now));
        advance(5_100);
        assertFalse(gate.isCold(now));
    }

    // Guards against a burst of requests to an upstream that has restarted while this router did
    // not use it.
    @Test
    void theRateToAnUnusedUpstreamGrowsGradually() {
        assertEquals(SHARE, sendAll());
        int before = 0;
        int most = 0;
        for (int second = 0; second < 6; second++) {
            int got = 0;
            for (int step = 0; step < 10; step++) {
                advance(110);
                int taken = sendAll();
                for (int each = 0; each < taken; each++) {
                    gate.answerReceived(now);
                }
                got += taken;
            }
            assertTrue(got <= 5 + 2 * before, got + " after " + before);
            before = got;
            most = Math.max(most, got);
        }
        assertTrue(most > 20, "got " + most + " at the most");
    }

    // Guards against a bound on remembered answers that throttles an upstream in heavy use.
    @Test
    void anUpstreamInHeavyUseIsNotThrottled() {
        int most = 0;
        for (int second = 0; second < 20; second++) {
            int got = 0;
            for (int step = 0; step < 100; step++) {
                advance(11);
                int taken = sendAll(4);
                for (int each = 0; each < taken; each++) {
                    gate.answerReceived(now);
                }
                got += taken;
            }
            most = Math.max(most, got);
        }
        assertTrue(most >= 300, "got " + most + " at the most");
    }

    @Test
    void aCanceledSendDoesNotCount() {
        gate.upstreamReported(COLD_TIME, now);
        gate.sendStarted();
        gate.sendStarted();
        assertFalse(gate.hasCapacity(() -> SHARE, now));
        gate.sendCanceled();
        assertTrue(gate.hasCapacity(() -> SHARE, now));
    }

    private int sendAll() {
        return sendAll(100);
    }

    private int sendAll(int most) {
        int count = 0;
        while (count < most && gate.hasCapacity(() -> SHARE, now)) {
            gate.sendStarted();
            gate.requestSent(now);
            count++;
        }
        return count;
    }

    private void advance(long millis) {
        now = now.plusMillis(millis);
    }
}
