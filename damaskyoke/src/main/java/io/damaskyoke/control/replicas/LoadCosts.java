package io.damaskyoke.control.replicas;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ModelName;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Estimates what a cold start of each model would cost, from how long a load takes and how often
 * the model is used.
 */
final class LoadCosts {
    private static final double NEWEST_WEIGHT = 0.3;

    private final ReplicaSettings settings;
    private final Map<ModelName, Duration> loadTimes = new HashMap<>();
    private final Map<ModelName, Rate> uses = new HashMap<>();

    LoadCosts(ReplicaSettings settings) {
        this.settings = settings;
    }

    void recordUse(ModelName model, Instant now) {
        uses.put(model, new Rate(recentUses(model, now) + 1, now));
    }

    void recordLoad(ModelName model, Duration took) {
        loadTimes.merge(
                model, took, (old, newest) -> old.plus(scaled(newest.minus(old), NEWEST_WEIGHT)));
    }

    /**
     * Returns how long a load takes: an exponentially weighted mean, or the estimate of the
     * settings before the first load.
     */
    Duration loadEstimate(Model model) {
        Duration guess =
                model.base().isPresent() ? settings.adapterEstimate() : settings.modelEstimate();
        return loadTimes.getOrDefault(model.name(), guess);
    }

    /**
     * Returns the cold start time to be expected, in seconds, per byte that an unload would free.
     */
    double coldStartSecondsPerByte(Model model, long bytes, Instant now) {
        double seconds = loadEstimate(model).toNanos() / 1e9;
        return seconds * recentUses(model.name(), now) / Math.max(1, bytes);
    }

    /** Forgets models that are no longer configured. */
    void retain(Set<ModelName> models) {
        loadTimes.keySet().retainAll(models);
        uses.keySet().retainAll(models);
    }

    /** Returns the number of uses, weighted by age: a use counts half after each half-life. */
    double recentUses(ModelName model, Instant now) {
        Rate rate = uses.get(model);
        if (rate == null) {
            return 0;
        }
        double age = Duration.between(rate.at, now).toNanos();
        return rate.value * StrictMath.pow(0.5, age / settings.rateHalfLife().toNanos());
    }

    private static Duration scaled(Duration duration, double factor) {
        return Duration.ofNanos((long) (duration.toNanos() * factor));
    }

    private record Rate(double value, Instant at) {}
}
