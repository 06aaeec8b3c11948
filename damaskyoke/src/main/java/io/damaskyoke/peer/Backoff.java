package io.damaskyoke.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * How long to wait before the next connection to one address.
 *
 * <p>Without it, every router would dial a restarted agent at the same instant, again and again.
 * The wait is drawn evenly from zero to a bound that doubles with each failure; a link counts as a
 * success only once it has lived for a while, so that a peer which accepts and drops is spared too.
 */
final class Backoff {
    static final Duration FIRST_BOUND = Duration.ofMillis(100);
    static final Duration LAST_BOUND = Duration.ofSeconds(10);
    static final Duration STABLE = Duration.ofSeconds(10);
    private static final int MAX_DOUBLINGS = 10;

    private final RandomGenerator random;
    private int failures;
    private Instant notBefore = Instant.MIN;

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** What is left to wait; zero if a connection may be opened now. */
    Duration left(Instant now) {
        return now.isBefore(notBefore) ? Duration.between(now, notBefore) : Duration.ZERO;
    }

    /** Takes note that a connection ended which had been open for this long (zero: never). */
    void ended(Instant now, Duration open) {
        failures = open.compareTo(STABLE) >= 0 ? 1 : failures + 1;
        notBefore = now.plusMillis(random.nextLong(bound().toMillis() + 1));
    }

    private Duration bound() {
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        Duration bound = FIRST_BOUND.multipliedBy(1L << doublings);
        return bound.compareTo(LAST_BOUND) < 0 ? bound : LAST_BOUND;
    }
}
