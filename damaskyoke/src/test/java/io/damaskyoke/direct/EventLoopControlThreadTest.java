package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class EventLoopControlThreadTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    // Guards against a dozen timers that each wake up a VM with a tenth of a core.
    @Test
    void stepsOfDifferentPeriodsRunOnCommonTicks() {
        TreeSet<Long> wakeUps = new TreeSet<>();
        for (long period : new long[] {50, 100, 150, 250, 500, 1_000}) {
            long now = 17 * NANOS_PER_MILLI + period;
            while (now < 1_000 * NANOS_PER_MILLI) {
                now += EventLoopControlThread.nanosToTick(now, period * NANOS_PER_MILLI);
                wakeUps.add(now / NANOS_PER_MILLI);
            }
        }
        assertEquals(20, wakeUps.headSet(1_000L, true).size(), wakeUps.toString());
    }

    @Test
    void aStepRunsAtMostHalfATickEarlyOrLate() {
        for (long now = 0; now < 200; now++) {
            long pause =
                    EventLoopControlThread.nanosToTick(now * NANOS_PER_MILLI, 150 * NANOS_PER_MILLI)
                            / NANOS_PER_MILLI;
            assertEquals(150, pause, 25);
        }
    }

    @Test
    void periodsShorterThanATickAreNotRoundedUpToIt() {
        assertEquals(
                20,
                EventLoopControlThread.nanosToTick(40 * NANOS_PER_MILLI, 20 * NANOS_PER_MILLI)
                        / NANOS_PER_MILLI,
                10);
    }
}
