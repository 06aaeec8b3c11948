package io.damaskyoke.control.waiting;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Orders the requests of flows, such as those of workspaces, by start-time fair queueing, so that
 * each flow gets upstream time in proportion to its weight.
 *
 * <p>The flow with the lowest virtual start time goes next, and each run advances that time by the
 * run's cost divided by the flow's weight. A flow that was idle starts at the current virtual time,
 * so it has neither debt nor credit.
 *
 * @param <F> names a flow
 */
public final class FairScheduler<F> {
    private final ToDoubleFunction<F> weightOf;
    private final Map<F, Double> finishTimes = new HashMap<>();
    private double virtualTime;

    /**
     * Creates a scheduler that knows no flow yet.
     *
     * @param weightOf a flow's share of upstream time relative to the others
     */
    public FairScheduler(ToDoubleFunction<F> weightOf) {
        this.weightOf = weightOf;
    }

    /** Returns the virtual start time of the flow's next request; the lowest goes first. */
    public double nextStart(F flow) {
        return Math.max(virtualTime, finishTimes.getOrDefault(flow, 0.0));
    }

    /**
     * Records that a request of the flow starts now.
     *
     * @param cost what the run takes, in the unit of the caller, such as seconds or tokens
     */
    public void recordRun(F flow, double cost) {
        double start = nextStart(flow);
        virtualTime = start;
        finishTimes.put(flow, start + cost / Math.max(1e-6, weightOf.applyAsDouble(flow)));
        finishTimes.values().removeIf(end -> end <= virtualTime);
    }
}
