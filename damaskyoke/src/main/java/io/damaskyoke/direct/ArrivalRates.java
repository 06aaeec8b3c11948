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

    /** A busy model that falls silent shows within about this; for a rare one it is too short. */
    private static final double SHORT_SECONDS = 1.5;

    /** Requests a second from which a silence of a few seconds is no chance. */
    private static final double BUSY = 2.0;

    /** What a busy model's rate over the short time may be below that over the long one. */
    private static final double CHANCE = 1.4;

    /** Slower than one in some minutes is as good as never. */
    private static final double LEAST = 0.004;

    private final Map<ModelRef, Rate> rates = new HashMap<>();

    private record Rate(double perSecond, double lately, Instant at) {
        double now(Instant now) {
            double usual = perSecond * faded(now, SECONDS);
            if (usual < BUSY) {
                return usual;
            }
            return Math.min(usual, CHANCE * lately * faded(now, SHORT_SECONDS));
        }

        Rate another(Instant now) {
            return new Rate(
                    perSecond * faded(now, SECONDS) + 1 / SECONDS,
                    lately * faded(now, SHORT_SECONDS) + 1 / SHORT_SECONDS,
                    now);
        }

        private double faded(Instant now, double seconds) {
            return Math.exp(-Duration.between(at, now).toMillis() / 1000.0 / seconds);
        }
    }

    void arrived(ModelRef model, Instant now) {
        rates.put(model, rates.getOrDefault(model, new Rate(0, 0, now)).another(now));
    }

    /** All that are worth mentioning. */
    Map<ModelRef, Double> all(Instant now) {
        rates.values().removeIf(rate -> rate.now(now) < LEAST);
        Map<ModelRef, Double> all = new HashMap<>();
        rates.forEach((model, rate) -> all.put(model, rate.now(now)));
        return all;
    }
}
