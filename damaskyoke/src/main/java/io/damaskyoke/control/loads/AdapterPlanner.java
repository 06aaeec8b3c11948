package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.ModelRef;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which adapters to load on engines that hold their base model, when requests wait for
 * them.
 *
 * <p>The expected load is some hundred adapters of a few busy models, eight adapter slots per
 * engine, and loads of a few milliseconds. The least recently used adapter that is not in use is
 * unloaded to free a slot.
 */
final class AdapterPlanner {
    /**
     * How long an adapter is kept after it was loaded or used. Routers learn that the adapter is
     * ready and send the requests that waited for it, and their reports of those requests arrive up
     * to 150 ms later. If the adapter were unloaded in the meantime, it would be loaded again at
     * once, alternating with the other adapters that are waited for, and none of them would ever be
     * used.
     */
    private static final Duration MIN_RETENTION = Duration.ofMillis(400);

    private final DemandAggregator demand;

    AdapterPlanner(DemandAggregator demand) {
        this.demand = demand;
    }

    /** An order that loads an adapter, or unloads another one to make room for it. */
    record AdapterOrder(EngineState engine, OrderOperation operation, ModelRef adapter) {}

    /** Returns at most one order per engine for the adapters that requests wait for. */
    List<AdapterOrder> plan(List<EngineState> engines, Instant now) {
        List<AdapterOrder> orders = new ArrayList<>();
        Set<EngineState> assigned = new HashSet<>();
        for (LoadInput.ModelDemand modelDemand : demand.waitingInOrder()) {
            if (modelDemand.model().hasAdapter()
                    && !isAvailableOrLoading(engines, modelDemand.model())) {
                AdapterOrder order = bestOrder(engines, assigned, modelDemand.model(), now);
                if (order != null) {
                    orders.add(order);
                    assigned.add(order.engine());
                }
            }
        }
        return orders;
    }

    private boolean isAvailableOrLoading(List<EngineState> engines, ModelRef adapter) {
        for (EngineState engine : engines) {
            boolean ordered = engine.pending() != null && engine.pending().model().equals(adapter);
            boolean usable = !engine.isLeaving() && !demand.isSuspect(engine.id());
            if (ordered || engine.loadingAdapters().containsKey(adapter)) {
                return true;
            }
            if (usable && engine.held().contains(adapter)) {
                return true;
            }
        }
        return false;
    }

    private AdapterOrder bestOrder(
            List<EngineState> engines, Set<EngineState> assigned, ModelRef adapter, Instant now) {
        AdapterOrder best = null;
        double lowestCost = Double.MAX_VALUE;
        for (EngineState engine : engines) {
            if (assigned.contains(engine) || !canTakeOrder(engine, adapter, now)) {
                continue;
            }
            boolean hasSlot = engine.adapterCount() < engine.spec().adapterSlots();
            boolean hasMemory = engine.freeMb() >= engine.adapterMb(adapter.model());
            ModelRef victim = hasSlot && hasMemory ? null : victim(engine, now);
            if (!(hasSlot && hasMemory) && victim == null) {
                continue;
            }
            double cost = victim == null ? engine.adapterCount() : 100 + victimCost(victim);
            if (cost < lowestCost) {
                lowestCost = cost;
                best =
                        victim == null
                                ? new AdapterOrder(engine, OrderOperation.LOAD, adapter)
                                : new AdapterOrder(engine, OrderOperation.UNLOAD, victim);
            }
        }
        return best;
    }

    private boolean canTakeOrder(EngineState engine, ModelRef adapter, Instant now) {
        return engine.acceptsOrders(now)
                && engine.plannedLoad() == null
                && engine.holds(adapter.model())
                && engine.wouldFitAfterRestart(adapter)
                && !demand.isSuspect(engine.id());
    }

    private double victimCost(ModelRef victim) {
        return demand.arrivalsPerSecond(victim);
    }

    private ModelRef victim(EngineState engine, Instant now) {
        ModelRef oldest = null;
        for (Map.Entry<String, Set<String>> entry : engine.held().adapters().entrySet()) {
            for (String name : entry.getValue()) {
                ModelRef each = new ModelRef(entry.getKey(), name);
                if (isInUse(engine, each, now)) {
                    continue;
                }
                if (oldest == null || engine.lastUsedAt(each).isBefore(engine.lastUsedAt(oldest))) {
                    oldest = each;
                }
            }
        }
        return oldest;
    }

    private boolean isInUse(EngineState engine, ModelRef adapter, Instant now) {
        Instant lastUsed = engine.lastUsedAt(adapter);
        boolean recentlyUsed =
                !lastUsed.equals(Instant.MIN) && now.isBefore(lastUsed.plus(MIN_RETENTION));
        return recentlyUsed
                || demand.running(engine.id(), adapter) > 0
                || demand.waitingFor(adapter) > 0;
    }
}
