package io.damaskyoke.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * Computes how long to wait before the next connection to one address, with full jitter.
 *
 * <p>Without backoff, every router would reconnect to a restarted agent at the same instant, again
 * and again. The wait is drawn uniformly from zero to a bound that doubles with each failure. A
 * link counts as a success only after it has been open for {@link #STABLE_AFTER}, so that a peer
 * which accepts connections and drops them is not flooded either.
 */
final class Backoff {
    static final Duration INITIAL_BOUND = Duration.ofMillis(100);
    static final Duration MAX_BOUND = Duration.ofSeconds(10);
    static final Duration STABLE_AFTER = Duration.ofSeconds(10);
    private static final int MAX_DOUBLINGS = 10;

    private final RandomGenerator random;
    private int failures;
    private Instant notBefore = Instant.MIN;

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the remaining wait; zero if a connection may be opened now. */
    Duration remaining(Instant now) {
        return now.isBefore(notBefore) ? Duration.between(now, notBefore) : Duration.ZERO;
    }

    /** Records that a connection ended after being open for this long; zero if it never opened. */
    void recordConnectionEnd(Instant now, Duration open) {
        failures = open.compareTo(STABLE_AFTER) >= 0 ? 1 : failures + 1;
        notBefore = now.plusMillis(random.nextLong(bound().toMillis() + 1));
    }

    private Duration bound() {
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        Duration bound = INITIAL_BOUND.multipliedBy(1L << doublings);
        return bound.compareTo(MAX_BOUND) < 0 ? bound : MAX_BOUND;
    }
}
