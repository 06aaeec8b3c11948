package io.damaskyoke.direct;

import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Sums up at one moment what a router's callers ask for and how it sees the upstreams: {@code new
 * DemandSummary(arrivalsPerSecond, now).report(self, queued, upstreams)}.
 */
final class DemandSummary {
    /** The usual time to load a model from an upstream's own memory or disk. */
    private static final Duration LOCAL_LOAD_TIME = Duration.ofMillis(800);

    private static final int LOWEST_URGENCY = 9;

    private final Map<ModelRef, Double> arrivalsPerSecond;
    private final Instant now;

    DemandSummary(Map<ModelRef, Double> arrivalsPerSecond, Instant now) {
        this.arrivalsPerSecond = arrivalsPerSecond;
        this.now = now;
    }

    /** Returns the report for the leader. */
    LoadInput.DemandReported report(
            VmId self, Map<ModelRef, List<PendingRequest>> queued, Collection<Upstream> upstreams) {
        Map<ModelRef, LoadInput.ModelDemand> demands = new TreeMap<>();
        arrivalsPerSecond.forEach((model, rate) -> demands.put(model, notWaiting(model, rate)));
        queued.forEach((model, requests) -> demands.put(model, waiting(model, requests)));
        Map<UpstreamId, Map<ModelRef, Integer>> running = new TreeMap<>();
        Set<UpstreamId> suspects = new HashSet<>();
        for (Upstream upstream : upstreams) {
            if (!upstream.runningByModel().isEmpty()) {
                running.put(upstream.facts().id(), new TreeMap<>(upstream.runningByModel()));
            }
            if (isSuspect(upstream)) {
                suspects.add(upstream.facts().id());
            }
        }
        return new LoadInput.DemandReported(self, List.copyOf(demands.values()), running, suspects);
    }

    // A model that only a paused upstream holds is better loaded elsewhere, unless the pause ends
    // sooner than the load.
    private boolean isSuspect(Upstream upstream) {
        boolean pausedForLong = upstream.pause().isPaused(now.plus(LOCAL_LOAD_TIME));
        return upstream.isEjected(now) || upstream.isLeaving() || pausedForLong;
    }

    private static LoadInput.ModelDemand notWaiting(ModelRef model, double perSecond) {
        return new LoadInput.ModelDemand(model, 0, Duration.ZERO, LOWEST_URGENCY, perSecond);
    }

    private LoadInput.ModelDemand waiting(ModelRef model, List<PendingRequest> requests) {
        Instant firstArrival = now;
        int inTime = 0;
        int urgency = Integer.MAX_VALUE;
        for (PendingRequest request : requests) {
            Instant arrivedAt = request.arrivedAt();
            firstArrival = arrivedAt.isBefore(firstArrival) ? arrivedAt : firstArrival;
            inTime += now.plus(LOCAL_LOAD_TIME).isBefore(request.onTimeSendDeadline()) ? 1 : 0;
            urgency = Math.min(urgency, request.priority());
        }
        return new LoadInput.ModelDemand(
                model,
                requests.size(),
                Duration.between(firstArrival, now),
                urgency,
                arrivalsPerSecond.getOrDefault(model, 0.0),
                inTime);
    }
}
