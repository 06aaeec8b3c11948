package io.damaskyoke.control.upstreams;

import java.time.Instant;

/**
 * Predicts the time in milliseconds after which an upstream answers one more request.
 *
 * <p>It covers the usual time to answer, the queue, the batch, recent failures, a cold start and
 * the distance to another zone.
 */
final class AnswerEstimate {
    /** Estimated cost of a failed request to its caller: the wait and the second attempt. */
    private static final double FAILURE_COST_MILLIS = 1_500;

    /** Round trip between zones; also makes the router prefer its own zone among equals. */
    private static final double OTHER_ZONE_ROUND_TRIP_MILLIS = 2;

    /** Estimated delay of an answer by a cold upstream. */
    private static final double COLD_DELAY_MILLIS = 100;

    /** Estimated delay of a batch for each request in it, where its speed is not known. */
    private static final double BATCH_MILLIS_PER_REQUEST = 0.5;

    /** How much longer a token takes in a full batch than alone, as a part of the usual time. */
    private static final double FULL_BATCH_GROWTH = 1;

    /** Longer than any wait that a caller accepts, so that any other upstream is preferred. */
    private static final double DRAINED_ZONE_PENALTY_MILLIS = 60_000;

    /** Assumed time to answer of an upstream that has not answered yet. */
    private static final double ASSUMED_ANSWER_MILLIS = 20;

    private final String zone;

    /** Creates estimates for a router in this zone. */
    AnswerEstimate(String zone) {
        this.zone = zone;
    }

    /** Returns the time at the usual speed of the upstream. */
    double millis(Upstream upstream, Instant now) {
        double load = upstream.load(now);
        double usual = usualMillis(upstream);
        return usual
                + queuedMillis(upstream, load, usual)
                + load * BATCH_MILLIS_PER_REQUEST
                + delayMillis(upstream, now);
    }

    /** Returns the time at the current speed of the upstream and with the growth of its batch. */
    double millisAtCurrentSpeed(Upstream upstream, Instant now) {
        double load = upstream.load(now);
        double current = usualMillis(upstream) * upstream.timeFactor(now);
        double batch = FULL_BATCH_GROWTH * load / slots(upstream);
        return current * (1 + batch)
                + queuedMillis(upstream, load, current)
                + delayMillis(upstream, now);
    }

    /** Returns the usual time to answer, without a queue or delays. */
    static double usualMillis(Upstream upstream) {
        double average = upstream.averageMillis();
        return average > 0 ? average : ASSUMED_ANSWER_MILLIS;
    }

    private static double queuedMillis(Upstream upstream, double load, double each) {
        int slots = slots(upstream);
        return Math.max(0, load + 1 - slots) * each / slots;
    }

    private double delayMillis(Upstream upstream, Instant now) {
        double cold = upstream.isCold(now) ? COLD_DELAY_MILLIS : 0;
        double otherZone = upstream.facts().zone().equals(zone) ? 0 : OTHER_ZONE_ROUND_TRIP_MILLIS;
        double drained = upstream.isZoneDrained() ? DRAINED_ZONE_PENALTY_MILLIS : 0;
        return upstream.failureRate() * FAILURE_COST_MILLIS + cold + otherZone + drained;
    }

    private static int slots(Upstream upstream) {
        return Math.max(1, upstream.facts().slots());
    }
}
