package io.damaskyoke.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class HybridClockTest {
    @Test
    void whatFollowsAMessageIsLaterThanItEvenOnAClockThatIsBehind() {
        HybridClock ahead = HybridClock.over(() -> Instant.ofEpochMilli(5_000));
        HybridClock behind = HybridClock.over(() -> Instant.ofEpochMilli(1_000));
        HybridTime cause = ahead.now();
        behind.heard(cause.packed());
        assertTrue(behind.now().compareTo(cause) > 0);
    }

    @Test
    void twoEventsOfOneMillisecondDifferInTheirCounter() {
        HybridClock clock = HybridClock.over(() -> Instant.ofEpochMilli(5_000));
        assertEquals(HybridTime.of(5_000, 0), clock.now());
        assertEquals(HybridTime.of(5_000, 1), clock.now());
    }
}
