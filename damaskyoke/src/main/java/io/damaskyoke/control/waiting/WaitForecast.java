package io.damaskyoke.control.waiting;

import io.damaskyoke.control.LruMap;
import io.damaskyoke.control.upstreams.ModelRef;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

/**
 * Predicts how long a request waits for a model that no upstream holds, from the time of the load
 * and from how long the last requests for that model have waited.
 */
public final class WaitForecast {
    /** Demand for a model and the loads in progress change within seconds. */
    private static final Duration LEARNED_VALID = Duration.ofSeconds(5);

    /** Weight of the newest wait in the moving average: about the last four count. */
    private static final double NEWEST_WEIGHT = 0.25;

    /** Limits the memory, as callers may request any name; the least recently used is dropped. */
    private static final int MAX_MODELS = 4_096;

    private final Map<ModelRef, Learned> learnedByModel = new LruMap<>(MAX_MODELS);

    private record Learned(Duration average, Instant at) {
        boolean isValid(Instant now) {
            return now.isBefore(at.plus(LEARNED_VALID));
        }
    }

    /** Records how long a request waited for the model until it was sent or refused. */
    public void recordWait(ModelRef model, Duration wait, Instant now) {
        Duration average =
                learned(model, now)
                        .map(old -> old.plus(fraction(wait.minus(old), NEWEST_WEIGHT)))
                        .orElse(wait);
        learnedByModel.put(model, new Learned(average, now));
    }

    /**
     * Returns the time until a request that arrives now could be sent.
     *
     * <p>A load usually begins when the first request for the model arrives, so the time for which
     * that one has waited is taken off. One that has waited longer than predicted shows that the
     * prediction is wrong; the wait so far is the better guess then.
     *
     * @param loadTime time of a load from the nearest copy
     * @param oldestQueuedAt since when the oldest request for the model has been queued, if any is
     */
    public Duration expectedWait(
            ModelRef model, Duration loadTime, Optional<Instant> oldestQueuedAt, Instant now) {
        Duration total = longer(loadTime, learned(model, now).orElse(Duration.ZERO));
        Duration waited =
                oldestQueuedAt.map(since -> Duration.between(since, now)).orElse(Duration.ZERO);
        return waited.compareTo(total) < 0 ? total.minus(waited) : waited;
    }

    private Optional<Duration> learned(ModelRef model, Instant now) {
        return Optional.ofNullable(learnedByModel.get(model))
                .filter(learned -> learned.isValid(now))
                .map(Learned::average);
    }

    private static Duration fraction(Duration time, double fraction) {
        return Duration.ofNanos((long) (time.toNanos() * fraction));
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? other : one;
    }
}
