package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;

/** Computes how many replicas a busy model should have. A model that is not busy has no goal. */
final class ReplicaGoal {
    /**
     * Requests per second from which a model is busy. A busy model has enough replicas that one can
     * be lost without an interruption.
     */
    private static final double BUSY_PER_SECOND = 2.0;

    /** Part of a replica's slots that the usual load may take before another replica is added. */
    private static final double TARGET_UTILIZATION = 0.4;

    /** A busy model has at least two replicas, so that one may be lost. */
    private static final int MIN_REPLICAS = 2;

    /**
     * Limit of the replicas that are added for adapter slots alone: more cost more memory than the
     * slots are worth.
     */
    private static final int MAX_REPLICAS_FOR_ADAPTERS = 3;

    private ReplicaGoal() {}

    /** Returns true if the model is requested often enough to need several replicas. */
    static boolean isBusy(String model, DemandAggregator demand) {
        return demand.arrivalsPerSecond(model) >= BUSY_PER_SECOND;
    }

    /** Returns the number of replicas that the model should have, or 0 if it is not busy. */
    static int replicasFor(EngineSpec spec, String model, DemandAggregator demand) {
        if (!isBusy(model, demand)) {
            return 0;
        }
        int byAdapters =
                (int) Math.ceil(demand.requestedAdapters(model) / (2.0 * spec.adapterSlots()));
        int byLoad = (int) Math.ceil(demand.running(model) / (spec.slots() * TARGET_UTILIZATION));
        return Math.max(
                MIN_REPLICAS, Math.max(byLoad, Math.min(byAdapters, MAX_REPLICAS_FOR_ADAPTERS)));
    }
}
