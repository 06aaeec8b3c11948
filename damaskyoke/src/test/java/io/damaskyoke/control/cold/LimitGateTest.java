package io.damaskyoke.control.cold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LimitGateTest {
    private static final UpstreamId UPSTREAM = UpstreamId.of("i-1");

    private final LimitGate gate = new LimitGate();
    private final Instant start = Instant.ofEpochSecond(100);

    @ParameterizedTest
    @CsvSource({"0, 0", "0.1, 1", "0.3, 1", "1.6, 6", "10000, 40000"})
    void aSingleRouterGetsTheWholeLimit(double perSecond, int requests) {
        gate.limitReceived(RequestLimit.declared(perSecond), start, start);
        int sent = 0;
        while (gate.hasCapacity(UPSTREAM, (id, all) -> (int) all, start)) {
            gate.sendStarted();
            gate.requestSent(start);
            sent++;
        }
        assertEquals(requests, sent);
    }

    // Guards against lifting a limit by an answer to a request that was sent before the limit was
    // declared, and that arrives after it is known.
    @Test
    void anAnswerToAnEarlierRequestDoesNotLiftTheLimit() {
        gate.limitReceived(RequestLimit.declared(1), start.plusMillis(50), start.plusMillis(50));
        assertFalse(gate.limitReceived(RequestLimit.NO_LIMIT, start, start.plusMillis(60)));
        assertTrue(gate.isLimited(start.plusMillis(60)));
        assertTrue(
                gate.limitReceived(
                        RequestLimit.NO_LIMIT, start.plusMillis(70), start.plusMillis(90)));
        assertFalse(gate.isLimited(start.plusMillis(90)));
    }

    // Guards against a delayed announcement that restores a lifted limit.
    @Test
    void aDelayedAnnouncementDoesNotRestoreALiftedLimit() {
        gate.limitReceived(RequestLimit.declared(1), start, start);
        gate.limitReceived(RequestLimit.NO_LIMIT, start.plusMillis(70), start.plusMillis(90));
        assertFalse(
                gate.limitReceived(
                        RequestLimit.declared(1), start.plusMillis(60), start.plusMillis(200)));
        assertFalse(gate.isLimited(start.plusMillis(200)));
    }

    @Test
    void anUnchangedLimitIsNotAnnouncedAgain() {
        assertTrue(gate.limitReceived(RequestLimit.declared(1), start, start));
        assertFalse(
                gate.limitReceived(
                        RequestLimit.declared(1), start.plusMillis(1), start.plusMillis(1)));
        assertTrue(
                gate.limitReceived(
                        RequestLimit.declared(2), start.plusMillis(2), start.plusMillis(2)));
    }

    // Guards against an upstream that stays unused because no answer can report that its limit is
    // lifted.
    @Test
    void aLimitThatIsNotDeclaredAgainExpires() {
        gate.limitReceived(RequestLimit.declared(0), start, start);
        assertFalse(gate.hasCapacity(UPSTREAM, (id, all) -> (int) all, start.plusSeconds(29)));
        assertTrue(gate.hasCapacity(UPSTREAM, (id, all) -> (int) all, start.plusSeconds(31)));
    }

    @Test
    void anInvalidLimitChangesNothing() {
        gate.limitReceived(RequestLimit.declared(3), start, start);
        for (double bad : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
            assertFalse(
                    gate.limitReceived(RequestLimit.declared(bad), start.plusSeconds(1), start));
        }
        assertEquals(RequestLimit.declared(3), gate.limit());
    }
}
