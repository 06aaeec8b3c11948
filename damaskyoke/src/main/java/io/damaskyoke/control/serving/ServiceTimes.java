package io.damaskyoke.control.serving;

import io.damaskyoke.id.ModelName;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates how long requests run at the upstream, from an exponential moving average for each
 * model.
 */
final class ServiceTimes {
    private static final double NEWEST_WEIGHT = 0.1;

    /**
     * Estimate before any measurement. It is low, since an estimate above the real time delays the
     * workspace that ran first for upstream time that it never used.
     */
    private static final double DEFAULT_SECONDS = 0.05;

    private static final double MIN_SECONDS = 0.01;

    private final Map<Optional<ModelName>, Double> averages = new HashMap<>();

    void record(Optional<ModelName> model, double measured) {
        averages.merge(model, measured, (old, now) -> old + NEWEST_WEIGHT * (now - old));
    }

    /** Returns the average in seconds, or empty if no request of this model has finished. */
    Optional<Double> averageSeconds(Optional<ModelName> model) {
        return Optional.ofNullable(averages.get(model));
    }

    /**
     * Returns the average in seconds, or the same default for every model without one; never 0,
     * since runs would then cost nothing in fair queueing.
     */
    double estimateSeconds(Optional<ModelName> model) {
        return Math.max(MIN_SECONDS, averages.getOrDefault(model, DEFAULT_SECONDS));
    }
}
