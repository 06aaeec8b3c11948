package io.damaskyoke.control.upstreams;

import io.damaskyoke.control.cold.UpstreamShare;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Picks the upstream at which a request is likely to be answered first.
 *
 * <p>The pattern: a dozen upstreams of unlike speed behind several routers that see only a part of
 * their load. One predicted time in milliseconds decides: what is usual there, the queue before it,
 * failures of late, a cold start, another zone. A failing upstream thus loses requests by degrees,
 * long before it is given up on, and one in a drained zone is sent to only if no other can serve.
 */
public final class UpstreamChoice {
    /** A failed request costs its caller about this, in ms: the wait and the second try. */
    private static final double FAILURE_MILLIS = 1_500;

    /** There and back between zones, in ms; also the preference among equals. */
    private static final double OTHER_ZONE_MILLIS = 2;

    /** An upstream that is cold is slower by about this, in ms. */
    private static final double COLD_MILLIS = 100;

    /** A batch grows slower by about this for each request in it, in ms. */
    private static final double SHARE_MILLIS = 0.5;

    /** More than any wait that a caller accepts: any other upstream goes first. */
    private static final double DRAINED_ZONE_MILLIS = 60_000;

    /** What an upstream is taken to need where nothing is known yet, in ms. */
    private static final double UNKNOWN_MILLIS = 20;

    private final String zone;
    private final double queueing;
    private final UpstreamShare share;

    /**
     * A choice for a router in this zone; an upstream may be sent this many times its slots before
     * it counts as full, and this router's share of what it bears while it is cold.
     */
    public UpstreamChoice(String zone, double queueing, UpstreamShare share) {
        this.zone = zone;
        this.queueing = queueing;
        this.share = share;
    }

    /** The best of those that hold the model, have room and weren't tried before. */
    public Optional<Upstream> pick(
            List<Upstream> all, ModelRef model, Set<UpstreamId> tried, Instant now) {
        Upstream best = null;
        double least = Double.MAX_VALUE;
        for (Upstream upstream : all) {
            if (!suits(upstream, model, now) || tried.contains(upstream.facts().id())) {
                continue;
            }
            double millis = predicted(upstream, now);
            if (millis < least) {
                least = millis;
                best = upstream;
            }
        }
        return Optional.ofNullable(best);
    }

    /** True if any upstream holds the model ready, whether it has room or not. */
    public static boolean held(List<Upstream> all, ModelRef model, Instant now) {
        return all.stream().anyMatch(each -> each.takes(now) && holds(each, model));
    }

    private boolean suits(Upstream upstream, ModelRef model, Instant now) {
        return upstream.takes(now)
                && !upstream.full(now)
                && upstream.load(now) < limit(upstream)
                && holds(upstream, model)
                && upstream.hasRoom(share, now);
    }

    private static boolean holds(Upstream upstream, ModelRef model) {
        return model == null || upstream.held().has(model);
    }

    private double limit(Upstream upstream) {
        return upstream.facts().slots() * queueing;
    }

    private double predicted(Upstream upstream, Instant now) {
        double usual = upstream.usualMillis() == 0 ? UNKNOWN_MILLIS : upstream.usualMillis();
        double load = upstream.load(now);
        int slots = Math.max(1, upstream.facts().slots());
        double queued = Math.max(0, load + 1 - slots) * usual / slots;
        double cold = upstream.cold(now) ? COLD_MILLIS : 0;
        double far = upstream.facts().zone().equals(zone) ? 0 : OTHER_ZONE_MILLIS;
        double drained = upstream.zoneDrained() ? DRAINED_ZONE_MILLIS : 0;
        return usual
                + queued
                + load * SHARE_MILLIS
                + upstream.failing() * FAILURE_MILLIS
                + cold
                + far
                + drained;
    }
}
