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
    private static final double TIME_CONSTANT_SECONDS = 6.0;

    /**
     * Shorter time constant in seconds, within which a busy model that is no longer requested
     * shows; it is too short for rare models.
     */
    private static final double SHORT_TIME_CONSTANT_SECONDS = 1.5;

    /** Requests per second from which a pause of a few seconds is not a chance event. */
    private static final double BUSY_PER_SECOND = 2.0;

    /** Factor by which chance may lower a busy model's short-term rate below its long-term rate. */
    private static final double CHANCE_FACTOR = 1.4;

    /** Requests per second below which a model is forgotten: one request in about four minutes. */
    private static final double MIN_PER_SECOND = 0.004;

    private final Map<ModelRef, Rate> rates = new HashMap<>();

    private record Rate(double longTerm, double shortTerm, Instant updatedAt) {
        double perSecondAt(Instant now) {
            double current = longTerm * decay(now, TIME_CONSTANT_SECONDS);
            if (current < BUSY_PER_SECOND) {
                return current;
            }
            return Math.min(
                    current, CHANCE_FACTOR * shortTerm * decay(now, SHORT_TIME_CONSTANT_SECONDS));
        }

        Rate withArrival(Instant now) {
            return new Rate(
                    longTerm * decay(now, TIME_CONSTANT_SECONDS) + 1 / TIME_CONSTANT_SECONDS,
                    shortTerm * decay(now, SHORT_TIME_CONSTANT_SECONDS)
                            + 1 / SHORT_TIME_CONSTANT_SECONDS,
                    now);
        }

        private double decay(Instant now, double seconds) {
            return Math.exp(-Duration.between(updatedAt, now).toMillis() / 1000.0 / seconds);
        }
    }

    void recordArrival(ModelRef model, Instant now) {
        rates.put(model, rates.getOrDefault(model, new Rate(0, 0, now)).withArrival(now));
    }

    /** Returns the requests per second of all models that are not forgotten. */
    Map<ModelRef, Double> ratesPerSecond(Instant now) {
        rates.values().removeIf(rate -> rate.perSecondAt(now) < MIN_PER_SECOND);
        Map<ModelRef, Double> perSecond = new HashMap<>();
        rates.forEach((model, rate) -> perSecond.put(model, rate.perSecondAt(now)));
        return perSecond;
    }
}
