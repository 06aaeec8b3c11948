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
    private final Map<String, Integer> arriving = new HashMap<>();
    private final Map<String, Integer> withCopy = new HashMap<>();
    private final Map<String, Integer> available = new HashMap<>();
    private final Map<String, Integer> arrivingSoon = new HashMap<>();
    private final DemandAggregator demand;

    FleetView(Collection<EngineState> engines, DemandAggregator demand, Instant now) {
        this.demand = demand;
        for (EngineState engine : engines) {
            if (!isUsable(engine)) {
                continue;
            }
            engine.held()
                    .adapters()
                    .keySet()
                    .forEach(each -> replicas.merge(each, 1, Integer::sum));
            engine.modelsWithCopy().forEach(each -> withCopy.merge(each, 1, Integer::sum));
            count(engine, now);
            if (isAvailable(engine)) {
                engine.held()
                        .adapters()
                        .keySet()
                        .forEach(each -> available.merge(each, 1, Integer::sum));
            }
        }
    }

    private static boolean isAvailable(EngineState engine) {
        return engine.isKnown() && engine.pending() == null && engine.plannedLoad() == null;
    }

    private void count(EngineState engine, Instant now) {
        PendingOrder pending = engine.pending();
        if (engine.plannedLoad() != null) {
            count(engine.plannedLoad().model(), pending, now);
        } else if (pending != null
                && pending.operation() == OrderOperation.LOAD
                && !pending.model().hasAdapter()) {
            count(pending.model().model(), pending, now);
        }
    }

    private void count(String model, PendingOrder pending, Instant now) {
        arriving.merge(model, 1, Integer::sum);
        if (!takesLong(pending, now)) {
            arrivingSoon.merge(model, 1, Integer::sum);
        }
    }

    // A load from the store takes seconds. An unload that is not finished by now waits for a
    // running request, and nobody knows when that ends.
    private static boolean takesLong(PendingOrder pending, Instant now) {
        if (pending == null) {
            return false;
        }
        return pending.operation() == OrderOperation.LOAD
                ? pending.dueAt().isAfter(now.plus(SOON))
                : now.isAfter(pending.sentAt().plus(UNLOAD_TIME));
    }

    /** Returns true if the engine is not leaving and not suspected of failing. */
    boolean isUsable(EngineState engine) {
        return !engine.isLeaving() && !demand.isSuspect(engine.id());
    }

    /** Returns the number of engines that hold the model ready. */
    int replicas(String model) {
        return replicas.getOrDefault(model, 0);
    }

    /** Returns the number of engines that are about to hold the model. */
    int arrivingReplicas(String model) {
        return arriving.getOrDefault(model, 0);
    }

    /** Returns the number of engines that can load the model without the store. */
    int enginesWithCopy(String model) {
        return withCopy.getOrDefault(model, 0);
    }

    /** Returns the number of engines that are expected to hold the model soon. */
    int soonArrivingReplicas(String model) {
        return arrivingSoon.getOrDefault(model, 0);
    }

    /**
     * Returns true if an engine other than this one holds the model or can load it without the
     * store.
     */
    boolean isAvailableElsewhere(EngineState engine, String model) {
        int own = isUsable(engine) && engine.hasCopy(model) ? 1 : 0;
        int held = isUsable(engine) && engine.holds(model) ? 1 : 0;
        return enginesWithCopy(model) > own || replicas(model) > held;
    }

    /** Returns the number of engines that hold the model and can take an order now. */
    int availableReplicas(String model) {
        return available.getOrDefault(model, 0);
    }

    /** Records that the engine gets an order in this round and can take no other for a while. */
    void markBusy(EngineState engine) {
        engine.held().adapters().keySet().forEach(each -> available.merge(each, -1, Integer::sum));
    }
}
