package io.damaskyoke.direct;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures how late the event loop runs its periodic tick: {@code lag.recordTick(now)} at every
 * tick.
 *
 * <p>A VM that loses its processor to others serves requests late and, as the leader, gives orders
 * late. The latter can be avoided, since another router can lead.
 */
final class EventLoopLag {
    /** If ticks are this late on average, each order takes that much longer. */
    private static final Duration SLOW_THRESHOLD = Duration.ofMillis(60);

    /** Weight of the newest tick; at 50 ms a tick the average covers about the last second. */
    private static final double NEWEST_WEIGHT = 0.05;

    /** Ticks that are ignored after the start, while code is not yet compiled and runs slowly. */
    private static final int WARM_UP_TICKS = 100;

    private final Duration period;
    private Instant due;
    private double averageLateMillis;
    private int ticks;

    EventLoopLag(Duration period) {
        this.period = period;
    }

    /** Records that the tick ran, and expects the next one a period later. */
    void recordTick(Instant now) {
        ticks++;
        if (due != null && ticks > WARM_UP_TICKS) {
            double late = Math.max(0, Duration.between(due, now).toMillis());
            averageLateMillis += NEWEST_WEIGHT * (late - averageLateMillis);
        }
        due = now.plus(period);
    }

    /** Returns true if ticks have recently been too late on average for a leader. */
    boolean isSlow() {
        return averageLateMillis > SLOW_THRESHOLD.toMillis();
    }

    /** Returns how late ticks have recently been on average. */
    Duration average() {
        return Duration.ofMillis((long) averageLateMillis);
    }
}
