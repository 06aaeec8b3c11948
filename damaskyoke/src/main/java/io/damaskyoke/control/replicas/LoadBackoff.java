package io.damaskyoke.control.replicas;

import io.damaskyoke.id.ModelName;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Computes the backoff after failed loads: each failure in a row doubles the next pause, up to 64
 * times the first.
 */
final class LoadBackoff {
    private static final int MAX_DOUBLINGS = 6;

    private final Duration firstPause;
    private final Map<ModelName, Failure> failures = new HashMap<>();

    LoadBackoff(Duration firstPause) {
        this.firstPause = firstPause;
    }

    void recordFailure(ModelName model, Instant now) {
        Failure last = failures.get(model);
        int doublings = last == null ? 0 : Math.min(last.doublings + 1, MAX_DOUBLINGS);
        Instant until = now.plus(firstPause.multipliedBy(1L << doublings));
        failures.put(model, new Failure(doublings, until));
    }

    void reset(ModelName model) {
        failures.remove(model);
    }

    void retain(Set<ModelName> models) {
        failures.keySet().retainAll(models);
    }

    /** Returns the time left before the next attempt; empty if a load may be ordered now. */
    Optional<Duration> remainingPause(ModelName model, Instant now) {
        Failure failure = failures.get(model);
        return failure == null || !now.isBefore(failure.until)
                ? Optional.empty()
                : Optional.of(Duration.between(now, failure.until));
    }

    private record Failure(int doublings, Instant until) {}
}
