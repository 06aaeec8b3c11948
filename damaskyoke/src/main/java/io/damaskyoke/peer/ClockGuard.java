package io.damaskyoke.peer;

import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.HybridTime;
import java.time.Duration;
import java.time.InstantSource;

/**
 * Advances this process's hybrid clock by the times of peers, up to a limit.
 *
 * <p>Without the limit, one VM whose clock is years ahead would advance every clock of the fleet
 * for good, and the merged timeline would show all later events at that one instant. A time more
 * than a minute ahead is counted and ignored; correct clocks differ by some hundred milliseconds.
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

    void observe(long packed) {
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
