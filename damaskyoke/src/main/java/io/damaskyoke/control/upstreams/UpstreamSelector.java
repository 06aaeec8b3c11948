package io.damaskyoke.control.upstreams;

import io.damaskyoke.control.cold.UpstreamShare;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Picks the upstream that is expected to answer a request first.
 *
 * <p>The pattern: a dozen upstreams of different speed behind several routers that see only a part
 * of their load. Upstreams are compared by one predicted time in milliseconds, which covers the
 * usual time to answer, the queue, recent failures, a cold start and the distance to another zone.
 * A failing upstream thus gets fewer requests long before it is ejected, and an upstream in a
 * drained zone gets requests only if no other can serve them.
 */
public final class UpstreamSelector {
    /** Estimated cost of a failed request to its caller: the wait and the second attempt. */
    private static final double FAILURE_COST_MILLIS = 1_500;

    /** Round trip between zones; also makes the router prefer its own zone among equals. */
    private static final double OTHER_ZONE_ROUND_TRIP_MILLIS = 2;

    /** Estimated delay of an answer by a cold upstream. */
    private static final double COLD_DELAY_MILLIS = 100;

    /** Estimated delay of a batch for each request in it. */
    private static final double BATCH_MILLIS_PER_REQUEST = 0.5;

    /** Longer than any wait that a caller accepts, so that any other upstream is preferred. */
    private static final double DRAINED_ZONE_PENALTY_MILLIS = 60_000;

    /** Assumed time to answer of an upstream that has not answered yet. */
    private static final double ASSUMED_ANSWER_MILLIS = 20;

    private final String zone;
    private final double slotFactor;
    private final UpstreamShare share;

    /**
     * Creates a selector for a router.
     *
     * @param zone availability zone of this router
     * @param slotFactor an upstream counts as full from this many times its slots on
     * @param share this router's share of the requests that a limited upstream can take from all
     *     routers
     */
    public UpstreamSelector(String zone, double slotFactor, UpstreamShare share) {
        this.zone = zone;
        this.slotFactor = slotFactor;
        this.share = share;
    }

    /**
     * Returns the best upstream of those that hold the model, have capacity and were not tried
     * before.
     */
    public Optional<Upstream> pick(
            List<Upstream> all, ModelRef model, Set<UpstreamId> tried, Instant now) {
        Upstream best = null;
        double least = Double.MAX_VALUE;
        for (Upstream upstream : all) {
            if (!isCandidate(upstream, model, now) || tried.contains(upstream.facts().id())) {
                continue;
            }
            double millis = predictedMillis(upstream, now);
            if (millis < least) {
                least = millis;
                best = upstream;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns true if any upstream that accepts requests holds the model, whether it has capacity
     * or not.
     */
    public static boolean anyHolds(List<Upstream> all, ModelRef model, Instant now) {
        return all.stream().anyMatch(each -> each.accepts(now) && holds(each, model));
    }

    private boolean isCandidate(Upstream upstream, ModelRef model, Instant now) {
        return upstream.accepts(now)
                && !upstream.isFull(now)
                && upstream.load(now) < maxLoad(upstream)
                && holds(upstream, model)
                && upstream.hasCapacity(share, now);
    }

    private static boolean holds(Upstream upstream, ModelRef model) {
        return model == null || upstream.held().contains(model);
    }

    private double maxLoad(Upstream upstream) {
        return upstream.facts().slots() * slotFactor;
    }

    private double predictedMillis(Upstream upstream, Instant now) {
        double average =
                upstream.averageMillis() == 0 ? ASSUMED_ANSWER_MILLIS : upstream.averageMillis();
        double load = upstream.load(now);
        int slots = Math.max(1, upstream.facts().slots());
        double queued = Math.max(0, load + 1 - slots) * average / slots;
        double cold = upstream.isCold(now) ? COLD_DELAY_MILLIS : 0;
        double otherZone = upstream.facts().zone().equals(zone) ? 0 : OTHER_ZONE_ROUND_TRIP_MILLIS;
        double drained = upstream.isZoneDrained() ? DRAINED_ZONE_PENALTY_MILLIS : 0;
        return average
                + queued
                + load * BATCH_MILLIS_PER_REQUEST
                + upstream.failureRate() * FAILURE_COST_MILLIS
                + cold
                + otherZone
                + drained;
    }
}
