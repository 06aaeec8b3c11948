package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.ModelRef;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Describes, for the log, why models are not loaded that requests have waited for long: one line
 * per model.
 */
final class WaitReport {
    private final DemandAggregator demand;
    private final Collection<EngineState> engines;
    private final StoreUsage store;
    private final Instant now;

    WaitReport(
            DemandAggregator demand,
            Collection<EngineState> engines,
            StoreUsage store,
            Instant now) {
        this.demand = demand;
        this.engines = engines;
        this.store = store;
        this.now = now;
    }

    /**
     * Returns a line for each model or adapter that a request has waited for at least this long.
     */
    List<String> waitsOfAtLeast(Duration limit) {
        List<String> lines = new ArrayList<>();
        for (LoadInput.ModelDemand modelDemand : demand.waitingInOrder()) {
            if (modelDemand.longestWait().compareTo(limit) >= 0) {
                lines.add(describe(modelDemand));
            }
        }
        return lines;
    }

    private String describe(LoadInput.ModelDemand modelDemand) {
        StringBuilder line = new StringBuilder(modelDemand.model().toString());
        line.append(" waiting=").append(modelDemand.waiting());
        line.append(" ms=").append(modelDemand.longestWait().toMillis());
        boolean anywhere = false;
        for (EngineState engine : engines) {
            boolean holds = engine.holds(modelDemand.model().model());
            if (holds || engine.hasCopy(modelDemand.model().model())) {
                line.append(' ').append(engine.id()).append('=');
                line.append(holds ? "held," : "copy,").append(state(engine));
                anywhere = true;
            }
        }
        if (!anywhere) {
            line.append(" no copy on any engine, store loads running ")
                    .append(store.runningLoads());
            line.append(" of ").append(store.fullSpeedLoads());
        }
        return line.toString();
    }

    private String state(EngineState engine) {
        if (demand.isSuspect(engine.id())) {
            return "suspect";
        }
        if (!engine.isKnown()) {
            return "unreported";
        }
        if (engine.pending() != null) {
            ModelRef model = engine.pending().model();
            return engine.pending().operation() + ":" + model;
        }
        if (engine.plannedLoad() != null) {
            return "for:" + engine.plannedLoad().model();
        }
        return engine.acceptsOrders(now) ? "free" : "quiet";
    }
}
