package io.damaskyoke.control.loads;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * What all engines of a service hold and are about to hold, counted once for a round of planning.
 * Counted anew for each question, the planner would take more of a small VM than the traffic.
 */
final class FleetView {
    /** A load from the store that ends within this is as good as one from a disk. */
    private static final Duration SOON = Duration.ofMillis(1_500);

    /** An unload that waits for no run shows in a report by then. */
    private static final Duration UNLOAD_TIME = Duration.ofMillis(600);

    private final Map<String, Integer> replicas = new HashMap<>();
    private final Map<String, Integer> coming = new HashMap<>();
    private final Map<String, Integer> copies = new HashMap<>();
    private final Map<String, Integer> open = new HashMap<>();
    private final Map<String, Integer> comingSoon = new HashMap<>();
    private final DemandBook demand;

    FleetView(Collection<Engine> engines, DemandBook demand, Instant now) {
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
            count(engine, now);
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

    private void count(Engine engine, Instant now) {
        Engine.Pending pending = engine.pending();
        if (engine.intent() != null) {
            count(engine.intent().model(), pending, now);
        } else if (pending != null
                && pending.verb() == Verb.LOAD
                && !pending.model().hasAdapter()) {
            count(pending.model().model(), pending, now);
        }
    }

    private void count(String model, Engine.Pending pending, Instant now) {
        coming.merge(model, 1, Integer::sum);
        if (!lasts(pending, now)) {
            comingSoon.merge(model, 1, Integer::sum);
        }
    }

    // A load from the store has seconds to go, and an unload that isn't over by now waits for a
    // run whose end nobody knows.
    private static boolean lasts(Engine.Pending pending, Instant now) {
        if (pending == null) {
            return false;
        }
        return pending.verb() == Verb.LOAD
                ? pending.dueAt().isAfter(now.plus(SOON))
                : now.isAfter(pending.sentAt().plus(UNLOAD_TIME));
    }

    /** True if it stays and answers. */
    boolean usable(Engine engine) {
        return !engine.leaves() && !demand.suspect(engine.id());
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

    /** Engines that are about to hold it soon, as far as is known. */
    int comingSoon(String model) {
        return comingSoon.getOrDefault(model, 0);
    }

    /** True if an engine beside this one holds the model, or can load it without the store. */
    boolean elsewhere(Engine engine, String model) {
        int own = usable(engine) && engine.hasCopy(model) ? 1 : 0;
        int held = usable(engine) && engine.has(model) ? 1 : 0;
        return copies(model) > own || replicas(model) > held;
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
