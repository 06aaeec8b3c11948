package io.damaskyoke.peer;

import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.HybridTime;
import java.time.Duration;
import java.time.InstantSource;

/**
 * Lets the times of peers move the own hybrid clock, within reason.
 *
 * <p>One VM whose clock stands years ahead would else pull every clock of the fleet there for good,
 * and the merged time line would show all later events at that one instant. A time more than a
 * minute ahead is counted and not taken; honest clocks differ by some hundred milliseconds.
 */
final class ClockGuard {
    static final Duration MAX_AHEAD = Duration.ofMinutes(1);

    private final HybridClock clock;
    private final InstantSource wall;
    private final Metrics metrics;

    ClockGuard(HybridClock clock, InstantSource wall, Metrics metrics) {
        this.clock = clock;
        this.wall = wall;
        this.metrics = metrics;
    }

    void heard(long packed) {
        long limit = wall.millis() + MAX_AHEAD.toMillis();
        if (new HybridTime(packed).millis() > limit) {
            metrics.count("peer_clock_ahead");
            return;
        }
        clock.heard(packed);
    }

    long now() {
        return clock.now().packed();
    }
}
