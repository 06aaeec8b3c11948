package io.damaskyoke.control.serving;

import io.damaskyoke.id.ModelName;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** How long requests run at the upstream, learned for each model as a moving average. */
final class ServiceTimes {
    private static final double NEWEST = 0.1;

    /** Small: a guess above the truth makes who ran first wait for turns that it never had. */
    private static final double UNKNOWN_SECONDS = 0.05;

    private static final double LEAST_SECONDS = 0.01;

    private final Map<Optional<ModelName>, Double> seconds = new HashMap<>();

    void took(Optional<ModelName> model, double measured) {
        seconds.merge(model, measured, (old, now) -> old + NEWEST * (now - old));
    }

    /** Empty while nothing of this model has finished. */
    Optional<Double> known(Optional<ModelName> model) {
        return Optional.ofNullable(seconds.get(model));
    }

    /** The average, or a guess that treats all alike; never 0, or turns would cost nothing. */
    double cost(Optional<ModelName> model) {
        return Math.max(LEAST_SECONDS, seconds.getOrDefault(model, UNKNOWN_SECONDS));
    }
}
