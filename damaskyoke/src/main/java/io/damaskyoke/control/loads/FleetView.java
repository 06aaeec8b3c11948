package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.ModelRef;
import java.time.Instant;
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
    private final Map<String, Integer> open = new HashMap<>();
    private final Collection<Engine> engines;
    private final DemandBook demand;

    FleetView(Collection<Engine> engines, DemandBook demand) {
        this.engines = engines;
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
            if (isOpen(engine)) {
                engine.held()
                        .adapters()
                        .keySet()
                        .forEach(each -> open.merge(each, 1, Integer::sum));
            }
        }
    }

    private static boolean isOpen(Engine engine) {
        return engine.known() && engine.pending() == null && engine.intent() == null;
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

    /** Engines that are about to hold it, and will before that time as far as is known. */
    int comingBy(String model, Instant time) {
        int late = 0;
        for (Engine engine : engines) {
            Engine.Pending pending = engine.pending();
            boolean loads =
                    pending != null
                            && engine.intent() == null
                            && pending.verb() == Verb.LOAD
                            && pending.model().equals(new ModelRef(model, ""));
            if (loads && usable(engine) && pending.dueAt().isAfter(time)) {
                late++;
            }
        }
        return coming(model) - late;
    }

    /** Engines that hold it and take orders now. */
    int open(String model) {
        return open.getOrDefault(model, 0);
    }

    /** An engine gets an order now, and takes no other for a while. */
    void barred(Engine engine) {
        engine.held().adapters().keySet().forEach(each -> open.merge(each, -1, Integer::sum));
    }
}
