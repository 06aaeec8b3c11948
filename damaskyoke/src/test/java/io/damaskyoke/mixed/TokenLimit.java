package io.damaskyoke.mixed;

import java.time.Duration;
import java.time.Instant;

/**
 * Finds out whether any window had more than rate x window + burst: what was admitted fills a
 * vessel of the burst's size that the rate drains.
 */
final class TokenLimit {
    private static final double ROUNDING = 1e-3;

    private final double burst;
    private double level;
    private Instant last;

    TokenLimit(double burst, Instant now) {
        this.burst = burst;
        this.last = now;
    }

    /** Passes the time up to now, at the highest rate that any router goes by. */
    void passTo(Instant now, double rate) {
        level = Math.max(0, level - rate * Duration.between(last, now).toNanos() / 1e9);
        last = now;
    }

    /** False if the limit is passed. */
    boolean admit(double tokens) {
        level += tokens;
        return level <= burst + ROUNDING;
    }

    void giveBack(double tokens) {
        level = Math.max(0, level - tokens);
    }
}
