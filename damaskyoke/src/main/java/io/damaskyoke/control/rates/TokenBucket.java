package io.damaskyoke.control.rates;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket whose clock is passed in: {@code bucket.refill(now); if (bucket.take(40)) ...}. It
 * starts empty, because a new bucket that is full would create tokens.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double rate;
    private double cap;
    private double tokens;
    private Instant lastRefill;

    TokenBucket(Instant now) {
        lastRefill = now;
    }

    /** Adds the tokens that accrued since the last call, up to the cap. */
    void refill(Instant now) {
        if (now.isAfter(lastRefill)) {
            double seconds = Duration.between(lastRefill, now).toNanos() / NANOS_PER_SECOND;
            tokens = Math.min(cap, tokens + rate * seconds);
            lastRefill = now;
        }
    }

    /**
     * Sets the rate, in tokens per second, and the cap. A larger cap adds no tokens, a smaller one
     * discards the excess.
     */
    void resize(double newRate, double newCap) {
        rate = newRate;
        cap = newCap;
        tokens = Math.min(tokens, cap);
    }

    /**
     * Returns tokens to the bucket, up to the cap. A negative amount is debt, which is paid before
     * new admissions.
     */
    void refund(double amount) {
        tokens = Math.min(cap, tokens + amount);
    }

    /** Removes tokens without checking the balance; the caller has checked it. */
    void take(double amount) {
        tokens -= amount;
    }

    /** Returns the refill rate in tokens per second. */
    double rate() {
        return rate;
    }

    /** Returns the maximum number of tokens. */
    double cap() {
        return cap;
    }

    double tokens() {
        return tokens;
    }
}
