package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamId;

/** What a {@link LoadPlanner} wants done. */
public sealed interface LoadAction {
    /**
     * Give an order; ends in Answered with the same number.
     *
     * @param sequence how many orders the upstream must have accepted before, or it refuses
     * @param freeMb memory that the planner takes to be free before the order
     */
    record Order(
            UpstreamId upstream,
            long number,
            Verb verb,
            ModelRef model,
            long sequence,
            double freeMb)
            implements LoadAction {}

    /** Ask an upstream what it holds; ends in Reported or NotReported. */
    record AskReport(UpstreamId upstream) implements LoadAction {}

    /** Tell all routers, of which one may be the next leader, of an order without an answer. */
    record TellOpen(OpenLoad load) implements LoadAction {}

    /** Tell all routers what an upstream holds. */
    record Tell(UpstreamId upstream, HeldModels held) implements LoadAction {}
}
