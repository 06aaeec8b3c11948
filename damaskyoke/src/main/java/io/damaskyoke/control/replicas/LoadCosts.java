package io.damaskyoke.control.replicas;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ModelName;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** What a cold start of each model would cost: how long a load takes, and how soon it is needed. */
final class LoadCosts {
    private static final double NEWEST_WEIGHT = 0.3;

    private final ReplicaSettings settings;
    private final Map<ModelName, Duration> times = new HashMap<>();
    private final Map<ModelName, Rate> rates = new HashMap<>();

    LoadCosts(ReplicaSettings settings) {
        this.settings = settings;
    }

    void used(ModelName model, Instant now) {
        rates.put(model, new Rate(rate(model, now) + 1, now));
    }

    void loaded(ModelName model, Duration took) {
        times.merge(
                model, took, (old, newest) -> old.plus(scaled(newest.minus(old), NEWEST_WEIGHT)));
    }

    /** How long a load takes: an exponentially weighted mean, or the settings' guess. */
    Duration estimate(Model model) {
        Duration guess =
                model.base().isPresent() ? settings.adapterEstimate() : settings.modelEstimate();
        return times.getOrDefault(model.name(), guess);
    }

    /** Seconds of cold start to be expected per byte that an unload would free. */
    double perByte(Model model, long bytes, Instant now) {
        double seconds = estimate(model).toNanos() / 1e9;
        return seconds * rate(model.name(), now) / Math.max(1, bytes);
    }

    /** Forgets models that are no longer configured. */
    void retain(Set<ModelName> models) {
        times.keySet().retainAll(models);
        rates.keySet().retainAll(models);
    }

    /** Uses in the last half-life or so. */
    double rate(ModelName model, Instant now) {
        Rate rate = rates.get(model);
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
