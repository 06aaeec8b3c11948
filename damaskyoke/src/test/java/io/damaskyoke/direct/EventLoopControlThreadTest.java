package io.damaskyoke.direct;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.http.HttpLoop;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.InstantSource;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class EventLoopControlThreadTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final Duration LIMIT = Duration.ofSeconds(10);

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

    // Guards against a check that never runs again, without a line, after one input too deep to
    // read.
    @Test
    void aPeriodicStepRunsAgainAfterAnError() {
        AtomicInteger runs = new AtomicInteger();
        Metrics metrics = new Metrics();
        try (HttpLoop loop = HttpLoop.start()) {
            EventLoopControlThread control =
                    new EventLoopControlThread(loop.events(), InstantSource.system(), metrics);
            control.every(
                    Duration.ofMillis(5),
                    () -> {
                        if (runs.incrementAndGet() == 1) {
                            throw new StackOverflowError();
                        }
                    });
            await().atMost(LIMIT).until(() -> runs.get() > 1);
        }
        assertEquals(1, metrics.counter("control_steps_failed").getCount());
    }
}
