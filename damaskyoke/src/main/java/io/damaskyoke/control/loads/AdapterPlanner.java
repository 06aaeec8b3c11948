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
    private static final Duration KEPT = Duration.ofMillis(400);

    private final DemandAggregator demand;

    AdapterPlanner(DemandAggregator demand) {
        this.demand = demand;
    }

    /** An order that loads an adapter, or unloads another one to make room for it. */
    record AdapterOrder(EngineState engine, OrderOperation operation, ModelRef adapter) {}

    List<AdapterOrder> plan(List<EngineState> engines, Instant now) {
        List<AdapterOrder> steps = new ArrayList<>();
        Set<EngineState> taken = new HashSet<>();
        for (LoadInput.ModelDemand want : demand.waitingInOrder()) {
            if (want.model().adapted() && !isAvailableOrLoading(engines, want.model())) {
                AdapterOrder step = bestOrder(engines, taken, want.model(), now);
                if (step != null) {
                    steps.add(step);
                    taken.add(step.engine());
                }
            }
        }
        return steps;
    }

    private boolean isAvailableOrLoading(List<EngineState> engines, ModelRef adapter) {
        for (EngineState engine : engines) {
            boolean ordered = engine.pending() != null && engine.pending().model().equals(adapter);
            boolean usable = !engine.isLeaving() && !demand.isSuspect(engine.id());
            if (ordered || engine.loadingAdapters().containsKey(adapter)) {
                return true;
            }
            if (usable && engine.held().has(adapter)) {
                return true;
            }
        }
        return false;
    }

    private AdapterOrder bestOrder(
            List<EngineState> engines, Set<EngineState> taken, ModelRef adapter, Instant now) {
        AdapterOrder best = null;
        double least = Double.MAX_VALUE;
        for (EngineState engine : engines) {
            if (taken.contains(engine)
                    || !engine.acceptsOrders(now)
                    || engine.plannedLoad() != null
                    || !engine.holds(adapter.model())
                    || demand.isSuspect(engine.id())) {
                continue;
            }
            boolean place = engine.adapterCount() < engine.spec().adapterSlots();
            boolean memory = engine.freeMb() >= engine.adapterMb(adapter.model());
            ModelRef victim = place && memory ? null : victim(engine, now);
            if (!(place && memory) && victim == null) {
                continue;
            }
            double cost = victim == null ? engine.adapterCount() : 100 + victimCost(victim);
            if (cost < least) {
                least = cost;
                best =
                        victim == null
                                ? new AdapterOrder(engine, OrderOperation.LOAD, adapter)
                                : new AdapterOrder(engine, OrderOperation.UNLOAD, victim);
            }
        }
        return best;
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
        Instant used = engine.lastUsedAt(adapter);
        boolean lately = !used.equals(Instant.MIN) && now.isBefore(used.plus(KEPT));
        return lately || demand.running(engine.id(), adapter) > 0 || demand.waitingFor(adapter) > 0;
    }
}
