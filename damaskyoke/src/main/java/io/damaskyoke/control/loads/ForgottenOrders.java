package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells which upstreams may still carry out a load order that an earlier leader sent, and that this
 * router was never told of: {@code forgotten.mayReach(upstream, now)}.
 *
 * <p>A leader announces an order that was not answered once, and perhaps ends before it does. The
 * next leader may be a router that has just started, so it can't know all of them. Within one
 * incarnation of an upstream its count of orders makes them harmless ({@link
 * UnansweredLoadOrders}). After a restart under the same id they may match the count again, on an
 * upstream that holds other models. Such an order was sent before the restart and before this
 * leader's election, and expires soon after the earlier of the two. Until then the upstream is
 * ordered to load nothing.
 */
final class ForgottenOrders {
    /**
     * An incarnation that says it is older did not restart within {@link #expiry}, even if the
     * times of day of its machine and of this one differ by seconds.
     */
    private static final Duration SURELY_OLD = Duration.ofSeconds(30);

    private final Duration expiry = UnansweredLoadOrders.EXPIRY;
    private final Map<UpstreamId, Sighting> sightings = new HashMap<>();
    private Instant firstInputAt;
    private Instant electedAt = Instant.MIN;
    private boolean hadEarlierLeaders;

    /**
     * What this router saw of an upstream.
     *
     * @param startedAt the incarnation, by its start in Unix milliseconds
     * @param seenAt when this router saw the incarnation first
     * @param mayFollowAnother whether an earlier incarnation of the same id may have got orders
     *     that have not expired
     * @param removedAt when the upstream went off the list; the end of time while it is on it
     */
    private record Sighting(
            long startedAt, Instant seenAt, boolean mayFollowAnother, Instant removedAt) {
        Sighting removed(Instant at) {
            return new Sighting(startedAt, seenAt, mayFollowAnother, at);
        }
    }

    /** Records that this router runs; the first call counts as its start. */
    void running(Instant now) {
        if (firstInputAt == null) {
            firstInputAt = now;
        }
    }

    /**
     * Records an upstream on the list or its report.
     *
     * @param startedAt the start of its incarnation in Unix milliseconds, if it says so
     */
    void upstreamSeen(UpstreamId upstream, long startedAt, Instant now) {
        Sighting before = sightings.get(upstream);
        boolean isNewIncarnation =
                before == null
                        || startedAt != HeldModels.UNKNOWN_START && startedAt != before.startedAt();
        if (isNewIncarnation) {
            boolean idMayBeUsedBefore = before != null || now.isBefore(firstInputAt.plus(expiry));
            boolean mayFollowAnother = idMayBeUsedBefore && !isSurelyOld(startedAt, now);
            sightings.put(upstream, new Sighting(startedAt, now, mayFollowAnother, Instant.MAX));
        } else if (!before.removedAt().equals(Instant.MAX)) {
            sightings.put(upstream, before.removed(Instant.MAX));
        }
    }

    private static boolean isSurelyOld(long startedAt, Instant now) {
        return startedAt != HeldModels.UNKNOWN_START
                && Instant.ofEpochMilli(startedAt).plus(SURELY_OLD).isBefore(now);
    }

    /** Records that an upstream went off the list; it may come back under its id. */
    void upstreamRemoved(UpstreamId upstream, Instant now) {
        sightings.computeIfPresent(upstream, (id, sighting) -> sighting.removed(now));
        removeExpired(now);
    }

    /**
     * Records that this router became leader.
     *
     * @param mayFollowOthers whether another router, or an earlier life of this one, may have been
     *     leader before
     */
    void elected(boolean mayFollowOthers, Instant now) {
        electedAt = now;
        hadEarlierLeaders = mayFollowOthers;
    }

    // An upstream that has been off the list for as long can have no orders any more.
    private void removeExpired(Instant now) {
        sightings
                .values()
                .removeIf(
                        each ->
                                !each.removedAt().equals(Instant.MAX)
                                        && each.removedAt().plus(expiry).isBefore(now));
    }

    /** Returns whether an order that this router does not know may be carried out there. */
    boolean mayReach(UpstreamId upstream, Instant now) {
        Sighting sighting = sightings.get(upstream);
        if (!hadEarlierLeaders || sighting == null || !sighting.mayFollowAnother()) {
            return false;
        }
        Instant lastSent = sighting.seenAt().isBefore(electedAt) ? sighting.seenAt() : electedAt;
        return now.isBefore(lastSent.plus(expiry));
    }
}
