package io.damaskyoke.control.upstreams;

import io.damaskyoke.control.cold.UpstreamShare;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Picks the upstream that is expected to answer a request first.
 *
 * <p>The pattern: a dozen upstreams of different speed behind several routers that see only a part
 * of their load. Upstreams are compared by one {@linkplain AnswerEstimate predicted time}. A
 * failing upstream thus gets fewer requests long before it is ejected, and an upstream in a drained
 * zone gets requests only if no other can serve them.
 *
 * <p>Where upstreams report how long work takes there now, the predicted time includes it, and an
 * upstream without room for the request's tokens gets the request only if no other can take it. In
 * a large fleet each router then chooses between two upstreams drawn at random. Otherwise all
 * routers would send to the same one, as all have the same old reports.
 *
 * <p>A selector is for one thread.
 */
public final class UpstreamSelector {
    /** In larger fleets, each router sees too little of the load to compare all upstreams. */
    private static final int MAX_ROUTERS_THAT_COMPARE_ALL = 6;

    /**
     * What all routers together may send to an upstream at once, as a multiple of its slots. What
     * is queued at a router can still go to another upstream; what is queued at an upstream can't.
     */
    private static final int MAX_REQUESTS_PER_SLOT = 4;

    private final AnswerEstimate estimate;
    private final double slotFactor;
    private final UpstreamShare share;
    private final RandomGenerator random;
    private final List<Upstream> candidates = new ArrayList<>();

    /**
     * Creates a selector for a router.
     *
     * @param zone availability zone of this router
     * @param slotFactor an upstream counts as full from this many times its slots on
     * @param share this router's share of the requests that a limited upstream can take from all
     *     routers
     * @param random draws the two upstreams between which a router of a large fleet chooses
     */
    public UpstreamSelector(
            String zone, double slotFactor, UpstreamShare share, RandomGenerator random) {
        this.estimate = new AnswerEstimate(zone);
        this.slotFactor = slotFactor;
        this.share = share;
        this.random = random;
    }

    /** Creates a selector with a random generator of its own. */
    public UpstreamSelector(String zone, double slotFactor, UpstreamShare share) {
        this(zone, slotFactor, share, new SplittableRandom());
    }

    /** Returns the best upstream for a request that states no tokens. */
    public Optional<Upstream> pick(
            List<Upstream> all, ModelRef model, Set<UpstreamId> tried, Instant now) {
        return pick(all, model, TokenUsage.UNKNOWN, tried, now);
    }

    /**
     * Returns the best upstream of those that hold the model, have capacity and were not tried
     * before.
     */
    public Optional<Upstream> pick(
            List<Upstream> all,
            ModelRef model,
            TokenUsage tokens,
            Set<UpstreamId> tried,
            Instant now) {
        boolean speedsReported = anyReportsRelativeTime(all);
        for (Upstream upstream : all) {
            if (isCandidate(upstream, model, speedsReported, now)
                    && !tried.contains(upstream.facts().id())) {
                candidates.add(upstream);
            }
        }
        if (speedsReported) {
            keepPreferred(tokens, now);
            drawCandidates();
        }
        Upstream best = best(speedsReported, now);
        candidates.clear();
        return Optional.ofNullable(best);
    }

    /**
     * Returns true if any upstream that accepts requests holds the model, whether it has capacity
     * or not.
     */
    public static boolean anyHolds(List<Upstream> all, ModelRef model, Instant now) {
        return all.stream().anyMatch(each -> each.accepts(now) && holds(each, model));
    }

    private static boolean anyReportsRelativeTime(List<Upstream> all) {
        for (Upstream upstream : all) {
            if (upstream.reportsRelativeTime()) {
                return true;
            }
        }
        return false;
    }

    private boolean isCandidate(
            Upstream upstream, ModelRef model, boolean speedsReported, Instant now) {
        return upstream.accepts(now)
                && !upstream.isFull(now)
                && upstream.load(now) < maxLoad(upstream)
                && holds(upstream, model)
                && (!speedsReported || isWithinShare(upstream))
                && upstream.hasCapacity(share, now);
    }

    private static boolean holds(Upstream upstream, ModelRef model) {
        return model == null || upstream.held().contains(model);
    }

    private double maxLoad(Upstream upstream) {
        return upstream.facts().slots() * slotFactor;
    }

    // Below an even part the exact share, which takes longer to compute, makes no difference.
    private boolean isWithinShare(Upstream upstream) {
        int all = MAX_REQUESTS_PER_SLOT * upstream.facts().slots();
        return upstream.inFlight() < Math.max(1, all / share.routers())
                || upstream.inFlight() < share.of(upstream.facts().id(), all);
    }

    // Keeps those outside drained zones, and of these the ones with room for the tokens, if any.
    private void keepPreferred(TokenUsage tokens, Instant now) {
        keepIfAny(candidates, each -> !each.isZoneDrained());
        keepIfAny(candidates, each -> each.hasTokenRoom(tokens, now));
    }

    private void drawCandidates() {
        if (candidates.size() <= 2 || share.routers() <= MAX_ROUTERS_THAT_COMPARE_ALL) {
            return;
        }
        Collections.swap(candidates, 0, draw(0));
        Collections.swap(candidates, 1, draw(1));
        candidates.subList(2, candidates.size()).clear();
    }

    // Draws in proportion to the usual speed. With equal probabilities, a slow upstream would be
    // drawn together with another slow one so often that it gets more requests than it can serve.
    private int draw(int from) {
        int last = candidates.size() - 1;
        double sum = 0;
        for (int index = from; index <= last; index++) {
            sum += 1 / AnswerEstimate.usualMillis(candidates.get(index));
        }
        double left = random.nextDouble() * sum;
        for (int index = from; index < last; index++) {
            left -= 1 / AnswerEstimate.usualMillis(candidates.get(index));
            if (left < 0) {
                return index;
            }
        }
        return last;
    }

    private Upstream best(boolean speedsReported, Instant now) {
        Upstream best = null;
        double least = Double.MAX_VALUE;
        for (Upstream upstream : candidates) {
            double millis =
                    speedsReported
                            ? estimate.millisAtCurrentSpeed(upstream, now)
                            : estimate.millis(upstream, now);
            if (millis < least) {
                least = millis;
                best = upstream;
            }
        }
        return best;
    }

    private static void keepIfAny(List<Upstream> from, Predicate<Upstream> preferred) {
        int kept = 0;
        for (int index = 0; index < from.size(); index++) {
            if (preferred.test(from.get(index))) {
                Collections.swap(from, kept++, index);
            }
        }
        if (kept > 0) {
            from.subList(kept, from.size()).clear();
        }
    }
}
