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
    private static final Duration LASTS = Duration.ofSeconds(3);

    private final ColdGate gate = new ColdGate();
    private Instant now = Instant.ofEpochSecond(100);

    @BeforeEach
    void limit() {
        gate.setLimit(new ColdLimit(LASTS, 48.5));
    }

    @Test
    void oneThatIsNeverColdTakesAnything() {
        gate.setLimit(ColdLimit.NONE);
        gate.connectionLost(now);
        assertEquals(100, taken());
    }

    @Test
    void oneThatSaysItIsColdGetsTheShareOfEachSecond() {
        gate.upstreamReported(LASTS, now);
        assertEquals(SHARE, taken());
        pass(900);
        assertEquals(0, taken());
        pass(200);
        assertEquals(SHARE, taken());
    }

    // Guards against a burst of requests to an upstream that is back before the list reports it
    // cold.
    @Test
    void oneThatWasLostIsColdUntilItsTimeAfterItsFirstAnswer() {
        gate.connectionLost(now);
        pass(60_000);
        assertTrue(gate.isCold(now));
        gate.answerReceived(now);
        pass(2_900);
        assertTrue(gate.isCold(now));
        pass(200);
        assertFalse(gate.isCold(now));
    }

    // Guards against seconds of reduced rate for an upstream with a single broken connection.
    @Test
    void theListsWordEndsTheDoubtIfItIsNewEnough() {
        gate.connectionLost(now);
        pass(1_900);
        gate.upstreamReported(Duration.ZERO, now);
        assertTrue(gate.isCold(now));
        pass(200);
        gate.upstreamReported(Duration.ZERO, now);
        assertFalse(gate.isCold(now));
    }

    // Guards against an entry that was written before the upstream became cold.
    @Test
    void aWordOfWarmthBesideOneOfColdEndsNothing() {
        gate.upstreamReported(LASTS, now);
        pass(100);
        gate.upstreamReported(Duration.ZERO, now);
        assertTrue(gate.isCold(now));
    }

    // Guards against trusting an entry that is older than the router's own process.
    @Test
    void aRouterThatHasStartedDoubtsWhatItFinds() {
        gate.markUnverified(now);
        assertTrue(gate.isCold(now));
        pass(5_100);
        assertFalse(gate.isCold(now));
    }

    // Guards against a burst of requests to an upstream that has restarted while this router did
    // not use it.
    @Test
    void oneThatWasNotUsedGetsMoreByDegrees() {
        assertEquals(SHARE, taken());
        int before = 0;
        int most = 0;
        for (int second = 0; second < 6; second++) {
            int got = 0;
            for (int step = 0; step < 10; step++) {
                pass(110);
                int taken = taken();
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
    void oneInHeavyUseIsNotHeldBack() {
        int most = 0;
        for (int second = 0; second < 20; second++) {
            int got = 0;
            for (int step = 0; step < 100; step++) {
                pass(11);
                int taken = taken(4);
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
    void whatNeverLeavesTakesNoPlace() {
        gate.upstreamReported(LASTS, now);
        gate.sendStarted();
        gate.sendStarted();
        assertFalse(gate.hasCapacity(() -> SHARE, now));
        gate.sendCanceled();
        assertTrue(gate.hasCapacity(() -> SHARE, now));
    }

    private int taken() {
        return taken(100);
    }

    private int taken(int most) {
        int count = 0;
        while (count < most && gate.hasCapacity(() -> SHARE, now)) {
            gate.sendStarted();
            gate.requestSent(now);
            count++;
        }
        return count;
    }

    private void pass(long millis) {
        now = now.plusMillis(millis);
    }
}
