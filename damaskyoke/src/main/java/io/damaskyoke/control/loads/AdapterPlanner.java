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

    private final DemandBook demand;

    AdapterPlanner(DemandBook demand) {
        this.demand = demand;
    }

    /** An order that loads an adapter, or unloads another one to make room for it. */
    record Step(Engine engine, Verb verb, ModelRef adapter) {}

    List<Step> plan(List<Engine> engines, Instant now) {
        List<Step> steps = new ArrayList<>();
        Set<Engine> taken = new HashSet<>();
        for (LoadInput.Want want : demand.waiting()) {
            if (want.model().adapted() && !isComing(engines, want.model())) {
                Step step = step(engines, taken, want.model(), now);
                if (step != null) {
                    steps.add(step);
                    taken.add(step.engine());
                }
            }
        }
        return steps;
    }

    private boolean isComing(List<Engine> engines, ModelRef adapter) {
        for (Engine engine : engines) {
            boolean ordered = engine.pending() != null && engine.pending().model().equals(adapter);
            boolean usable = !engine.leaves() && !demand.suspect(engine.id());
            if (ordered || engine.coming().containsKey(adapter)) {
                return true;
            }
            if (usable && engine.held().has(adapter)) {
                return true;
            }
        }
        return false;
    }

    private Step step(List<Engine> engines, Set<Engine> taken, ModelRef adapter, Instant now) {
        Step best = null;
        double least = Double.MAX_VALUE;
        for (Engine engine : engines) {
            if (taken.contains(engine)
                    || !engine.free(now)
                    || engine.intent() != null
                    || !engine.has(adapter.model())
                    || demand.suspect(engine.id())) {
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
                                ? new Step(engine, Verb.LOAD, adapter)
                                : new Step(engine, Verb.UNLOAD, victim);
            }
        }
        return best;
    }

    private double victimCost(ModelRef victim) {
        return demand.perSecond(victim);
    }

    private ModelRef victim(Engine engine, Instant now) {
        ModelRef oldest = null;
        for (Map.Entry<String, Set<String>> entry : engine.held().adapters().entrySet()) {
            for (String name : entry.getValue()) {
                ModelRef each = new ModelRef(entry.getKey(), name);
                if (inUse(engine, each, now)) {
                    continue;
                }
                if (oldest == null || engine.usedAt(each).isBefore(engine.usedAt(oldest))) {
                    oldest = each;
                }
            }
        }
        return oldest;
    }

    private boolean inUse(Engine engine, ModelRef adapter, Instant now) {
        Instant used = engine.usedAt(adapter);
        boolean lately = !used.equals(Instant.MIN) && now.isBefore(used.plus(KEPT));
        return lately || demand.running(engine.id(), adapter) > 0 || demand.waitingFor(adapter) > 0;
    }
}
