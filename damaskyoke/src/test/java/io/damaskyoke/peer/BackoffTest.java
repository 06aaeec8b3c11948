package io.damaskyoke.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.junit.jupiter.api.Test;

class BackoffTest {
    private static final Instant NOW = Instant.EPOCH;

    @Test
    void theFirstConnectionDoesNotWait() {
        assertEquals(Duration.ZERO, new Backoff(new Random(1)).remaining(NOW));
    }

    @Test
    void theWaitStaysWithinTheMaximumAfterManyFailures() {
        Backoff backoff = new Backoff(new Random(1));
        Duration longest = Duration.ZERO;
        for (int i = 0; i < 1_000; i++) {
            backoff.recordConnectionEnd(NOW, Duration.ZERO);
            Duration left = backoff.remaining(NOW);
            longest = left.compareTo(longest) > 0 ? left : longest;
        }
        assertTrue(longest.compareTo(Backoff.MAX_BOUND) <= 0);
        assertTrue(longest.compareTo(Backoff.MAX_BOUND.dividedBy(2)) > 0);
    }

    @Test
    void aStableLinkResetsTheWaitToTheInitialBound() {
        Backoff backoff = new Backoff(new Random(1));
        for (int i = 0; i < 20; i++) {
            backoff.recordConnectionEnd(NOW, Duration.ZERO);
        }
        backoff.recordConnectionEnd(NOW, Backoff.STABLE_AFTER);
        assertTrue(backoff.remaining(NOW).compareTo(Backoff.INITIAL_BOUND) <= 0);
    }
}
