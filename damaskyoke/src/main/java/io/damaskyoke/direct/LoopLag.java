package io.damaskyoke.direct;

import java.time.Duration;
import java.time.Instant;

/**
 * How late this process's one thread does what is due: {@code lag.ticked(now)} at every tick.
 *
 * <p>A VM whose processor is taken away answers late and gives orders late. The first can't be
 * helped here; the second can, as another router gives them as well.
 */
final class LoopLag {
    /** A tick this late on the average means that each order takes that much longer. */
    private static final Duration SLOW = Duration.ofMillis(60);

    /** Weight of the newest tick: about the last second counts. */
    private static final double NEWEST = 0.05;

    /** A process that has just started runs slow code for a while; that passes by itself. */
    private static final int TICKS_TO_WARM_UP = 100;

    private final Duration period;
    private Instant due;
    private double lateMillis;
    private int ticks;

    LoopLag(Duration period) {
        this.period = period;
    }

    void ticked(Instant now) {
        ticks++;
        if (due != null && ticks > TICKS_TO_WARM_UP) {
            double late = Math.max(0, Duration.between(due, now).toMillis());
            lateMillis += NEWEST * (late - lateMillis);
        }
        due = now.plus(period);
    }

    boolean slow() {
        return lateMillis > SLOW.toMillis();
    }

    /** How late it is on average, of late. */
    Duration average() {
        return Duration.ofMillis((long) lateMillis);
    }
}
