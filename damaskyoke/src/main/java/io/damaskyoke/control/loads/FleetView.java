package io.damaskyoke.control.loads;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts of the models that all engines of a service hold or are about to hold, computed once per
 * planning round. Recounting for each question would take more of a small VM's processor time than
 * the traffic.
 */
final class FleetView {
    /** A load from the store that ends within this time is as good as one from disk. */
    private static final Duration SOON = Duration.ofMillis(1_500);

    /** Time by which a report shows an unload that waits for no running request. */
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
        } else if (pending != null && pending.verb() == Verb.LOAD && !pending.model().adapted()) {
            count(pending.model().model(), pending, now);
        }
    }

    private void count(String model, Engine.Pending pending, Instant now) {
        coming.merge(model, 1, Integer::sum);
        if (!lasts(pending, now)) {
            comingSoon.merge(model, 1, Integer::sum);
        }
    }

    // A load from the store takes seconds. An unload that is not finished by now waits for a
    // running request, and nobody knows when that ends.
    private static boolean lasts(Engine.Pending pending, Instant now) {
        if (pending == null) {
            return false;
        }
        return pending.verb() == Verb.LOAD
                ? pending.dueAt().isAfter(now.plus(SOON))
                : now.isAfter(pending.sentAt().plus(UNLOAD_TIME));
    }

    /** Returns true if the engine is not leaving and not suspected of failing. */
    boolean usable(Engine engine) {
        return !engine.leaves() && !demand.suspect(engine.id());
    }

    /** Returns the number of engines that hold the model ready. */
    int replicas(String model) {
        return replicas.getOrDefault(model, 0);
    }

    /** Returns the number of engines that are about to hold the model. */
    int coming(String model) {
        return coming.getOrDefault(model, 0);
    }

    /** Returns the number of engines that can load the model without the store. */
    int copies(String model) {
        return copies.getOrDefault(model, 0);
    }

    /** Returns the number of engines that are expected to hold the model soon. */
    int comingSoon(String model) {
        return comingSoon.getOrDefault(model, 0);
    }

    /**
     * Returns true if an engine other than this one holds the model or can load it without the
     * store.
     */
    boolean elsewhere(Engine engine, String model) {
        int own = usable(engine) && engine.hasCopy(model) ? 1 : 0;
        int held = usable(engine) && engine.has(model) ? 1 : 0;
        return copies(model) > own || replicas(model) > held;
    }

    /** Returns the number of engines that hold the model and can take an order now. */
    int open(String model) {
        return open.getOrDefault(model, 0);
    }

    /** Records that the engine gets an order in this round and can take no other for a while. */
    void barred(Engine engine) {
        engine.held().adapters().keySet().forEach(each -> open.merge(each, -1, Integer::sum));
    }
}
