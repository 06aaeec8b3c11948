package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An event that a {@link LoadPlanner} handles. */
public sealed interface LoadInput {
    /**
     * The configuration of the model services was set.
     *
     * @param engines memory, slots and models of the engines of each service, by service name
     */
    record ServicesConfigured(Map<String, EngineSpec> engines) implements LoadInput {}

    /**
     * Sizes of models were read that earlier configurations stated.
     *
     * @param sizes the largest sizes, by service and model
     */
    record SizesRecorded(Map<String, Map<String, ModelSize>> sizes) implements LoadInput {}

    /** An upstream of a model service appeared in the list or changed there. */
    record UpstreamListed(UpstreamFacts facts) implements LoadInput {}

    /** The availability zones that operators drain changed to exactly this set. */
    record DrainedZonesChanged(Set<String> zones) implements LoadInput {}

    /** An upstream was removed. */
    record UpstreamRemoved(UpstreamId upstream) implements LoadInput {}

    /**
     * A router reported its demand. The report replaces the previous one of the same router.
     *
     * @param running requests of that router that run on each upstream
     * @param suspects upstreams that fail the router's requests, have asked it for a long pause, or
     *     leave
     */
    record DemandReported(
            VmId router,
            List<ModelDemand> demands,
            Map<UpstreamId, Map<ModelRef, Integer>> running,
            Set<UpstreamId> suspects)
            implements LoadInput {
        /** Returns true if requests wait at that router. */
        public boolean hasWaitingRequests() {
            return demands.stream().anyMatch(demand -> demand.waiting() > 0);
        }
    }

    /** The order with that number was answered, or its answer did not arrive. */
    record OrderAnswered(UpstreamId upstream, long number, OrderOutcome outcome)
            implements LoadInput {}

    /**
     * An upstream's own report was received. It may be some hundred milliseconds old.
     *
     * @param busy whether the upstream carries out an order
     * @param inMemory models with a copy in its main memory
     * @param onDisk models with a copy on its disk
     */
    record UpstreamReported(
            UpstreamId upstream,
            boolean busy,
            HeldModels held,
            Set<String> inMemory,
            Set<String> onDisk)
            implements LoadInput {}

    /** Another router that was leader announced a load order that it had no answer to. */
    record UnansweredLoadAnnounced(UnansweredLoadOrder load) implements LoadInput {}

    /** An upstream did not answer a request for a report. */
    record ReportFailed(UpstreamId upstream) implements LoadInput {}

    /**
     * This router became leader. What it knows of the upstreams may be out of date.
     *
     * @param mayFollowOthers whether there may have been a leader before
     */
    record Elected(boolean mayFollowOthers) implements LoadInput {
        /** This router became the first leader of its fleet. */
        public Elected() {
            this(false);
        }
    }

    /** This router is no longer leader. */
    record Resigned() implements LoadInput {}

    /** Time has passed. */
    record Tick() implements LoadInput {}

    /**
     * The demand of one router for one model or adapter.
     *
     * @param waiting requests that no upstream can take now
     * @param longestWait how long the first of the waiting requests has waited
     * @param urgency smallest priority number of the waiting requests
     * @param arrivalsPerSecond recent arrivals per second
     * @param inTime waiting requests that can be answered in time if the model is loaded now
     */
    record ModelDemand(
            ModelRef model,
            int waiting,
            Duration longestWait,
            int urgency,
            double arrivalsPerSecond,
            int inTime) {
        /** Creates a demand whose waiting requests are all late. */
        public ModelDemand(
                ModelRef model,
                int waiting,
                Duration longestWait,
                int urgency,
                double arrivalsPerSecond) {
            this(model, waiting, longestWait, urgency, arrivalsPerSecond, 0);
        }
    }
}
