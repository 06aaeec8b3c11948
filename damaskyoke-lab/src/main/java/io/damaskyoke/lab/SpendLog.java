package io.damaskyoke.lab;

import java.time.Duration;
import java.time.Instant;

/**
 * What one workspace was let spend, over all routers; finds the window in which it spent most
 * beyond {@code rate * time + burst}. A bucket that everything spent runs through shows just that.
 */
final class SpendLog {
    private static final double NANOS = 1e9;

    private final double rate;
    private double level;
    private double highest;
    private Instant last = Instant.EPOCH;

    SpendLog(double rate) {
        this.rate = rate;
    }

    /** Notes what was spent, or given back if negative. */
    void spent(double tokens, Instant now) {
        double seconds = Duration.between(last, now).toNanos() / NANOS;
        level = Math.max(0, level - rate * seconds);
        last = now;
        level = Math.max(0, level + tokens);
        highest = Math.max(highest, level);
    }

    /** True if that much more would stay within the rate and this burst. */
    boolean fits(double tokens, double burst, Instant now) {
        spent(0, now);
        return level + tokens <= burst;
    }

    /** The most that any window had beyond its rate; up to the burst is rightful. */
    double mostBeyondRate() {
        return highest;
    }
}
