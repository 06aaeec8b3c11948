package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.ModelRef;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Estimates the recent request rate of each model and adapter by exponential decay. */
final class ArrivalRates {
    /**
     * Time constant of the estimate in seconds. It must bridge the few seconds between two requests
     * for a rare model, and a shift of demand shows within about this time.
     */
    private static final double SECONDS = 6.0;

    /**
     * Shorter time constant in seconds, within which a busy model that is no longer requested
     * shows; it is too short for rare models.
     */
    private static final double SHORT_SECONDS = 1.5;

    /** Requests per second from which a pause of a few seconds is not a chance event. */
    private static final double BUSY = 2.0;

    /** Factor by which chance may lower a busy model's short-term rate below its long-term rate. */
    private static final double CHANCE = 1.4;

    /** Requests per second below which a model is forgotten: one request in about four minutes. */
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

    void recordArrival(ModelRef model, Instant now) {
        rates.put(model, rates.getOrDefault(model, new Rate(0, 0, now)).another(now));
    }

    /** Returns the requests per second of all models that are not forgotten. */
    Map<ModelRef, Double> ratesPerSecond(Instant now) {
        rates.values().removeIf(rate -> rate.now(now) < LEAST);
        Map<ModelRef, Double> all = new HashMap<>();
        rates.forEach((model, rate) -> all.put(model, rate.now(now)));
        return all;
    }
}
