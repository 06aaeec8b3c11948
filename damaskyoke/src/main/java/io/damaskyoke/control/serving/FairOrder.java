package io.damaskyoke.control.serving;

import io.damaskyoke.id.WorkspaceId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Start-time fair queueing among workspaces: whose turn comes next is whose virtual time is least,
 * and a run moves that on by its cost through the workspace's weight. A workspace that was idle
 * starts at the present virtual time, so that it neither owes nor has saved anything.
 */
final class FairOrder {
    private final ToDoubleFunction<WorkspaceId> weight;
    private final Map<WorkspaceId, Double> finish = new HashMap<>();
    private double virtualTime;

    FairOrder(ToDoubleFunction<WorkspaceId> weight) {
        this.weight = weight;
    }

    /** Where the workspace's next request starts; the least goes first. */
    double start(WorkspaceId workspace) {
        return Math.max(virtualTime, finish.getOrDefault(workspace, 0.0));
    }

    /** The workspace's request goes now; it costs about that many seconds. */
    void ran(WorkspaceId workspace, double cost) {
        double start = start(workspace);
        virtualTime = start;
        finish.put(workspace, start + cost / Math.max(1e-6, weight.applyAsDouble(workspace)));
        finish.values().removeIf(end -> end <= virtualTime);
    }
}
