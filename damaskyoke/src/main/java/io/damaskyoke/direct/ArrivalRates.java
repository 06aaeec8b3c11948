package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.ModelRef;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** How many requests a second come for each model and adapter, of late. */
final class ArrivalRates {
    /** Rare models are asked for every few seconds; a shift of demand shows within about this. */
    private static final double SECONDS = 6.0;

    /** Slower than one in some minutes is as good as never. */
    private static final double LEAST = 0.004;

    private final Map<ModelRef, Rate> rates = new HashMap<>();

    private record Rate(double perSecond, Instant at) {
        double now(Instant now) {
            return perSecond * Math.exp(-Duration.between(at, now).toMillis() / 1000.0 / SECONDS);
        }
    }

    void arrived(ModelRef model, Instant now) {
        Rate rate = rates.get(model);
        double before = rate == null ? 0 : rate.now(now);
        rates.put(model, new Rate(before + 1 / SECONDS, now));
    }

    /** All that are worth mentioning. */
    Map<ModelRef, Double> all(Instant now) {
        rates.values().removeIf(rate -> rate.now(now) < LEAST);
        Map<ModelRef, Double> all = new HashMap<>();
        rates.forEach((model, rate) -> all.put(model, rate.now(now)));
        return all;
    }
}
