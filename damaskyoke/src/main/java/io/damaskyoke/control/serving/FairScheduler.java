package io.damaskyoke.control.serving;

import io.damaskyoke.id.WorkspaceId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Orders the requests of workspaces by start-time fair queueing, so that each workspace gets
 * upstream time in proportion to its weight.
 *
 * <p>The workspace with the lowest virtual start time goes next, and each run advances that time by
 * the run's cost divided by the workspace's weight. A workspace that was idle starts at the current
 * virtual time, so it has neither debt nor credit.
 */
final class FairScheduler {
    private final ToDoubleFunction<WorkspaceId> weightOf;
    private final Map<WorkspaceId, Double> finishTimes = new HashMap<>();
    private double virtualTime;

    FairScheduler(ToDoubleFunction<WorkspaceId> weightOf) {
        this.weightOf = weightOf;
    }

    /** Returns the virtual start time of the workspace's next request; the lowest goes first. */
    double nextStart(WorkspaceId workspace) {
        return Math.max(virtualTime, finishTimes.getOrDefault(workspace, 0.0));
    }

    /**
     * Records that a request of the workspace starts now.
     *
     * @param cost expected run time in seconds
     */
    void recordRun(WorkspaceId workspace, double cost) {
        double start = nextStart(workspace);
        virtualTime = start;
        finishTimes.put(
                workspace, start + cost / Math.max(1e-6, weightOf.applyAsDouble(workspace)));
        finishTimes.values().removeIf(end -> end <= virtualTime);
    }
}
