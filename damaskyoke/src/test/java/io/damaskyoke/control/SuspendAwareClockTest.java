package io.damaskyoke.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.junit.jupiter.api.Test;

class SuspendAwareClockTest {
    private static final Instant START = Instant.ofEpochSecond(1_000);

    private long nanos;
    private Instant timeOfDay = START;
    private final SuspendAwareClock clock = new SuspendAwareClock(() -> nanos, () -> timeOfDay);

    @Test
    void timeInSuspensionIsCountedThoughTheCounterStops() {
        // A leader's VM is suspended for six seconds after it renewed its lease. The monotonic
        // counter does not advance, so without the correction the lease would still look valid.
        advance(Duration.ofMillis(100));
        timeOfDay = timeOfDay.plusSeconds(6);
        assertEquals(START.plusMillis(6_100), clock.instant());
    }

    @Test
    void settingTheTimeOfDayBackChangesNothing() {
        advance(Duration.ofMillis(100));
        timeOfDay = timeOfDay.minusSeconds(2);
        assertEquals(START.plusMillis(100), clock.instant());
        timeOfDay = timeOfDay.plusSeconds(2);
        assertEquals(START.plusMillis(2_100), clock.instant());
    }

    @Test
    void smallDriftIsIgnored() {
        for (int i = 0; i < 10; i++) {
            advance(Duration.ofMillis(100));
            timeOfDay = timeOfDay.plusMillis(50);
            clock.instant();
        }
        assertEquals(START.plusMillis(1_000), clock.instant());
    }

    // Guards against tokens of a rate that come early because the system clock was set forward.
    @Test
    void theSteadyClockIgnoresEveryJump() {
        InstantSource steady = clock.steady();
        for (int jump = 0; jump < 10; jump++) {
            advance(Duration.ofMillis(300));
            timeOfDay = timeOfDay.plusMillis(jump % 2 == 0 ? 2_400 : -2_400);
            clock.instant();
        }
        assertEquals(START.plusMillis(3_000), steady.instant());
        assertEquals(START.plusMillis(15_000), clock.instant());
    }

    private void advance(Duration duration) {
        nanos += duration.toNanos();
        timeOfDay = timeOfDay.plus(duration);
    }
}
