package io.damaskyoke.control.rates;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket on passed-in time: {@code bucket.refill(now); if (bucket.take(40)) ...}. Starts
 * empty, since a new bucket that is full would make tokens out of nothing.
 */
final class Bucket {
    private static final double NANOS = 1e9;

    private double rate;
    private double cap;
    private double tokens;
    private Instant last;

    Bucket(Instant now) {
        last = now;
    }

    /** Adds what has come in since the last call; the tokens never exceed the cap. */
    void refill(Instant now) {
        if (now.isAfter(last)) {
            double seconds = Duration.between(last, now).toNanos() / NANOS;
            tokens = Math.min(cap, tokens + rate * seconds);
            last = now;
        }
    }

    /**
     * Changes rate and cap from now on. A larger cap brings no tokens, a smaller one takes some.
     */
    void resize(double newRate, double newCap) {
        rate = newRate;
        cap = newCap;
        tokens = Math.min(tokens, cap);
    }

    /** Gives tokens back, up to the cap; a negative amount is debt, paid before new admissions. */
    void giveBack(double amount) {
        tokens = Math.min(cap, tokens + amount);
    }

    /** Takes that many whatever is there; the caller has checked. */
    void take(double amount) {
        tokens -= amount;
    }

    /** Tokens that come in a second. */
    double rate() {
        return rate;
    }

    /** Tokens that it holds at the most. */
    double cap() {
        return cap;
    }

    double tokens() {
        return tokens;
    }
}
