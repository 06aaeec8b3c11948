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
    private final DemandBook demand;
    private final Collection<Engine> engines;
    private final StoreUse store;
    private final Instant now;

    WaitReport(DemandBook demand, Collection<Engine> engines, StoreUse store, Instant now) {
        this.demand = demand;
        this.engines = engines;
        this.store = store;
        this.now = now;
    }

    List<String> longerThan(Duration limit) {
        List<String> lines = new ArrayList<>();
        for (LoadInput.Want want : demand.waiting()) {
            if (want.oldest().compareTo(limit) >= 0) {
                lines.add(line(want));
            }
        }
        return lines;
    }

    private String line(LoadInput.Want want) {
        StringBuilder line = new StringBuilder(want.model().toString());
        line.append(" waiting=").append(want.waiting());
        line.append(" ms=").append(want.oldest().toMillis());
        boolean anywhere = false;
        for (Engine engine : engines) {
            boolean has = engine.has(want.model().model());
            if (has || engine.hasCopy(want.model().model())) {
                line.append(' ').append(engine.id()).append('=');
                line.append(has ? "held," : "copy,").append(state(engine));
                anywhere = true;
            }
        }
        if (!anywhere) {
            line.append(" no copy on any engine, store loads running ").append(store.running());
            line.append(" of ").append(store.atFullSpeed());
        }
        return line.toString();
    }

    private String state(Engine engine) {
        if (demand.suspect(engine.id())) {
            return "suspect";
        }
        if (!engine.known()) {
            return "unreported";
        }
        if (engine.pending() != null) {
            ModelRef model = engine.pending().model();
            return engine.pending().verb() + ":" + model;
        }
        if (engine.intent() != null) {
            return "for:" + engine.intent().model();
        }
        return engine.free(now) ? "free" : "quiet";
    }
}
