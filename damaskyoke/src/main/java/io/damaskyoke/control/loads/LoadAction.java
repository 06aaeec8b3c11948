package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamId;

/** An action that a {@link LoadPlanner} asks its caller to carry out. */
public sealed interface LoadAction {
    /**
     * Sends an order to an upstream; answered by {@link LoadInput.OrderAnswered} with the same
     * number.
     *
     * @param sequence number of orders that the upstream must have accepted before; it refuses the
     *     order otherwise
     * @param freeMb free memory that the planner assumes before the order, in MB
     */
    record SendOrder(
            UpstreamId upstream,
            long number,
            OrderOperation operation,
            ModelRef model,
            long sequence,
            double freeMb)
            implements LoadAction {}

    /**
     * Requests a report of what an upstream holds; answered by {@link LoadInput.UpstreamReported}
     * or {@link LoadInput.ReportFailed}.
     */
    record RequestReport(UpstreamId upstream) implements LoadAction {}

    /**
     * Announces a load order without an answer to all routers, since any of them may be the next
     * leader.
     */
    record AnnounceUnansweredLoad(UnansweredLoadOrder load) implements LoadAction {}

    /** Announces to all routers what an upstream holds. */
    record AnnounceHeldModels(UpstreamId upstream, HeldModels held) implements LoadAction {}
}
