package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;

/** How many replicas a busy model should have; a model that isn't busy has no goal. */
final class ReplicaGoal {
    /** Requests a second from which a model is busy: one replica may be lost without a gap. */
    private static final double BUSY_PER_SECOND = 2.0;

    /** Of a replica's slots, what the usual load may take before there is another replica. */
    private static final double USUAL_PART = 0.4;

    private static final int LEAST = 2;

    /**
     * More replicas than this for their places alone cost more memory than the places are worth.
     */
    private static final int MOST_FOR_ADAPTERS = 3;

    private ReplicaGoal() {}

    static boolean busy(String model, DemandBook demand) {
        return demand.perSecond(model) >= BUSY_PER_SECOND;
    }

    static int of(EngineSpec spec, String model, DemandBook demand) {
        if (!busy(model, demand)) {
            return 0;
        }
        int byAdapters = (int) Math.ceil(demand.adaptersAsked(model) / (2.0 * spec.adapterSlots()));
        int byLoad = (int) Math.ceil(demand.running(model) / (spec.slots() * USUAL_PART));
        return Math.max(LEAST, Math.max(byLoad, Math.min(byAdapters, MOST_FOR_ADAPTERS)));
    }
}
