package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;

/** How many replicas a busy model should have; a model that isn't busy has no goal. */
final class ReplicaGoal {
    /** Requests a second from which a model is busy: one replica may be lost without a gap. */
    private static final double BUSY_PER_SECOND = 2.0;

    /** Of a replica's slots, what the usual load may take before there is another replica. */
    private static final double USUAL_PART = 0.4;

    private static final int LEAST = 2;

    private ReplicaGoal() {}

    static int of(EngineSpec spec, String model, DemandBook demand) {
        if (demand.perSecond(model) < BUSY_PER_SECOND) {
            return 0;
        }
        int byLoad = (int) Math.ceil(demand.running(model) / (spec.slots() * USUAL_PART));
        return Math.max(LEAST, byLoad);
    }
}
