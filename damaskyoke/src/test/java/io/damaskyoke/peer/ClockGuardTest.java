package io.damaskyoke.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.HybridTime;
import java.time.Instant;
import java.time.InstantSource;
import org.junit.jupiter.api.Test;

class ClockGuardTest {
    private static final InstantSource WALL = () -> Instant.ofEpochMilli(5_000);

    @Test
    void aTimeMoreThanAMinuteAheadIsCountedAndIgnored() {
        Metrics metrics = new Metrics();
        ClockGuard guard = new ClockGuard(HybridClock.over(WALL), WALL, metrics);
        guard.observe(HybridTime.of(65_000, 0).packed());
        guard.observe(HybridTime.of(65_001, 0).packed());
        guard.observe(-1L);
        assertEquals(HybridTime.of(65_000, 1).packed(), guard.now());
        assertEquals(2, metrics.counter("peer_clock_ahead").getCount());
    }
}
