package io.damaskyoke.control.loads;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * What all engines of a service hold and are about to hold, counted once for a round of planning.
 * Counted anew for each question, the planner would take more of a small VM than the traffic.
 */
final class FleetView {
    private final Map<String, Integer> replicas = new HashMap<>();
    private final Map<String, Integer> coming = new HashMap<>();
    private final Map<String, Integer> copies = new HashMap<>();
    private final DemandBook demand;

    FleetView(Collection<Engine> engines, DemandBook demand) {
        this.demand = demand;
        for (Engine engine : engines) {
            if (!usable(engine)) {
                continue;
            }
            engine.held()
                    .adapters()
                    .keySet()
                    .forEach(each -> replicas.merge(each, 1, Integer::sum));
            engine.copies().forEach(each -> copies.merge(each, 1, Integer::sum));
            count(engine);
        }
    }

    private void count(Engine engine) {
        Engine.Pending pending = engine.pending();
        if (engine.intent() != null) {
            coming.merge(engine.intent().model(), 1, Integer::sum);
        } else if (pending != null && pending.verb() == Verb.LOAD && !pending.model().adapted()) {
            coming.merge(pending.model().model(), 1, Integer::sum);
        }
    }

    /** True if it stays and answers. */
    boolean usable(Engine engine) {
        return !engine.facts().draining() && !demand.suspect(engine.id());
    }

    /** Engines that hold the model ready. */
    int replicas(String model) {
        return replicas.getOrDefault(model, 0);
    }

    /** Engines that are about to hold it. */
    int coming(String model) {
        return coming.getOrDefault(model, 0);
    }

    /** Engines that can load it without the store. */
    int copies(String model) {
        return copies.getOrDefault(model, 0);
    }
}
