package io.damaskyoke.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
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

    private void advance(Duration duration) {
        nanos += duration.toNanos();
        timeOfDay = timeOfDay.plus(duration);
    }
}
