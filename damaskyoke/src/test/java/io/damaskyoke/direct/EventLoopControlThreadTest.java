package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class EventLoopControlThreadTest {
    private static final long MILLI = 1_000_000;

    // Guards against a dozen timers that each wake up a VM with a tenth of a core.
    @Test
    void stepsOfUnlikePeriodsRunOnCommonBeats() {
        TreeSet<Long> wakes = new TreeSet<>();
        for (long period : new long[] {50, 100, 150, 250, 500, 1_000}) {
            long now = 17 * MILLI + period;
            while (now < 1_000 * MILLI) {
                now += EventLoopControlThread.nanosToTick(now, period * MILLI);
                wakes.add(now / MILLI);
            }
        }
        assertEquals(20, wakes.headSet(1_000L, true).size(), wakes.toString());
    }

    @Test
    void aStepComesAtMostHalfABeatEarlyOrLate() {
        for (long now = 0; now < 200; now++) {
            long pause = EventLoopControlThread.nanosToTick(now * MILLI, 150 * MILLI) / MILLI;
            assertEquals(150, pause, 25);
        }
    }

    @Test
    void quickStepsAreNotHeldUpByTheBeat() {
        assertEquals(20, EventLoopControlThread.nanosToTick(40 * MILLI, 20 * MILLI) / MILLI, 10);
    }
}
