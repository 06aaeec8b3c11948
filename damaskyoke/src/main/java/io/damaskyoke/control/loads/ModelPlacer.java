package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Picks an engine for each model that needs one: because requests wait for it, because it is busy
 * and has too few replicas, or because no engine holds it and there is room.
 */
final class ModelPlacer {
    /**
     * How long requests must wait for a model that has a copy on a blocked engine before it is
     * loaded from the store elsewhere. A load from the store blocks its engine for many loads of
     * other models, so more of those wait, and more would be loaded from the store in turn.
     */
    private static final Duration LONGEST_FOR_COPY = Duration.ofMillis(3_000);

    /**
     * The same for a busy model. Also how long all engines with a copy must still be blocked for it
     * to be loaded from the store at once.
     */
    private static final Duration LONGEST_IF_BUSY = Duration.ofMillis(1_200);

    /**
     * Minimum cost, in requests per second, of blocking an engine that has the only copy of a
     * model.
     */
    private static final double SOLE_COPY = 0.05;

    /** Wait after which requests for a model that has replicas justify one more replica. */
    private static final Duration CROWDED = Duration.ofMillis(120);

    /**
     * Seconds that one more replica of a busy model saves for each of its requests, counting those
     * that find a slot or an adapter at once and those that would be lost with the only replica.
     */
    private static final double BUSY_GAIN = 0.3;

    /**
     * Part of the saving of a load ahead of need that the load may cost at most. Otherwise models
     * would replace each other back and forth.
     */
    private static final double AHEAD_PART = 0.4;

    /**
     * Saving of loading a model that nobody has requested: enough to replace surplus replicas and
     * nothing else.
     */
    private static final double LEAST_GAIN = 0.001;

    /**
     * Part of the requests for adapters that wait while an engine loads or unloads a model, as it
     * takes no order for an adapter meanwhile. If no other engine that holds the base model is
     * available, most requests for adapters that are not loaded wait; otherwise hardly any do.
     */
    private static final double BLOCKED_ALONE = 0.7;

    private static final double BLOCKED_SHARED = 0.05;

    /**
     * Blocked adapter requests per second above which an engine does not load from the store, which
     * would block it for seconds.
     */
    private static final double MOST_BLOCKED = 0.5;

    private final DemandAggregator demand;
    private final StoreLoadLimiter storeLoads;

    ModelPlacer(DemandAggregator demand, StoreLoadLimiter storeLoads) {
        this.demand = demand;
        this.storeLoads = storeLoads;
    }

    /** A model and the engine that is to load it. */
    record Placement(EngineState engine, String model) {}

    private record Candidate(
            EngineState engine,
            LoadSource source,
            double cost,
            double evictionCost,
            boolean losesLastCopy) {}

    /**
     * Returns the best use of memory that was just freed: the model it was meant for, or a busy one
     * that requests have begun to wait for since. An unload can take seconds, and a model that
     * becomes busy in that time gets dozens of requests per second.
     */
    String bestModelFor(EngineState engine, String meantFor, FleetView fleet) {
        if (ReplicaGoal.isBusy(meantFor, demand)) {
            return meantFor;
        }
        for (LoadInput.ModelDemand want : demand.waitingInOrder()) {
            String model = want.model().model();
            boolean suits =
                    ReplicaGoal.isBusy(model, demand)
                            && engine.loadSource(model) != LoadSource.STORE
                            && !engine.holds(model);
            if (suits && fleet.replicas(model) == 0 && fleet.soonArrivingReplicas(model) == 0) {
                return model;
            }
        }
        return meantFor;
    }

    List<Placement> plan(
            EngineSpec spec,
            MemoryFragmentation packing,
            List<EngineState> engines,
            boolean ahead,
            Instant now) {
        PlanningRound round =
                new PlanningRound(spec, packing, engines, new FleetView(engines, demand, now), now);
        List<Placement> choices = new ArrayList<>();
        for (String model : round.neededModels()) {
            round.place(model, true).ifPresent(choices::add);
        }
        if (ahead) {
            round.modelsBelowGoal()
                    .forEach(model -> round.place(model, false).ifPresent(choices::add));
            round.modelsWithoutReplica()
                    .forEach(model -> round.place(model, false).ifPresent(choices::add));
        }
        return choices;
    }

    /** One planning round over all engines of a service. */
    private final class PlanningRound {
        private final EngineSpec spec;
        private final List<EngineState> engines;
        private final FleetView fleet;
        private final EvictionPlanner room;
        private final Instant now;
        private final Set<EngineState> taken = new HashSet<>();
        private int chosenFromStore;

        PlanningRound(
                EngineSpec spec,
                MemoryFragmentation packing,
                List<EngineState> engines,
                FleetView fleet,
                Instant now) {
            this.spec = spec;
            this.engines = engines;
            this.fleet = fleet;
            this.room = new EvictionPlanner(demand, fleet, packing);
            this.now = now;
        }

        Set<String> neededModels() {
            Set<String> models = new LinkedHashSet<>();
            for (LoadInput.ModelDemand want : demand.waitingInOrder()) {
                String model = want.model().model();
                if (!spec.models().containsKey(model) || fleet.soonArrivingReplicas(model) > 0) {
                    continue;
                }
                boolean crowded =
                        !want.model().adapted() && want.longestWait().compareTo(CROWDED) > 0;
                if (fleet.replicas(model) == 0 || crowded) {
                    models.add(model);
                }
            }
            return models;
        }

        List<String> modelsBelowGoal() {
            return byDemand(
                    model ->
                            fleet.arrivingReplicas(model) == 0
                                    && fleet.replicas(model)
                                            < ReplicaGoal.replicasFor(spec, model, demand));
        }

        List<String> modelsWithoutReplica() {
            return byDemand(
                    model -> fleet.replicas(model) == 0 && fleet.arrivingReplicas(model) == 0);
        }

        private List<String> byDemand(Predicate<String> wanted) {
            return spec.models().keySet().stream()
                    .filter(wanted)
                    .sorted(
                            Comparator.comparingDouble(
                                            (String model) -> -demand.arrivalsPerSecond(model))
                                    .thenComparing(Comparator.naturalOrder()))
                    .toList();
        }

        Optional<Placement> place(String model, boolean needed) {
            Candidate best = null;
            for (EngineState engine : engines) {
                Optional<Candidate> offer =
                        canLoad(engine, model) ? candidate(engine, model) : Optional.empty();
                boolean free = needed || isFirstCopyBeforeRequests(model);
                boolean suits = offer.isPresent() && (free || !offer.get().losesLastCopy());
                if (suits && (best == null || offer.get().cost() < best.cost())) {
                    best = offer.get();
                }
            }
            if (best == null || !isWorthwhile(best, model, needed)) {
                return Optional.empty();
            }
            taken.add(best.engine());
            chosenFromStore += best.source() == LoadSource.STORE ? 1 : 0;
            fleet.markBusy(best.engine());
            return Optional.of(new Placement(best.engine(), model));
        }

        private boolean canLoad(EngineState engine, String model) {
            return engine.acceptsOrders(now)
                    && engine.plannedLoad() == null
                    && fleet.isUsable(engine)
                    && !taken.contains(engine)
                    && !engine.holds(model);
        }

        private Optional<Candidate> candidate(EngineState engine, String model) {
            double blocked = blockedAdapterRequests(engine);
            if (blocked > MOST_BLOCKED && engine.loadSource(model) == LoadSource.STORE) {
                return Optional.empty();
            }
            double perSecond = 1 + demand.arrivalsPerSecond(model) + blocked;
            return room.plan(engine, model, perSecond, now)
                    .map(plan -> candidate(engine, model, plan, perSecond));
        }

        private boolean losesLastCopy(EngineState engine, String model, EvictionPlanner.Plan plan) {
            return engine.loadSource(model) == LoadSource.STORE
                    && plan.victims().stream()
                            .anyMatch(each -> !fleet.isAvailableElsewhere(engine, each));
        }

        private Candidate candidate(
                EngineState engine, String model, EvictionPlanner.Plan plan, double perSecond) {
            LoadSource source = engine.loadSource(model);
            ModelSpec weights = spec.models().get(model);
            double load = source.loadTime(weights).toMillis() / 1000.0;
            double cost = (plan.waitSeconds() + load) * perSecond + plan.cost();
            if (source == LoadSource.STORE) {
                cost += load * soleCopyRequests(engine);
            }
            double hurt = plan.cost() + plan.waitSeconds();
            return new Candidate(engine, source, cost, hurt, losesLastCopy(engine, model, plan));
        }

        private double blockedAdapterRequests(EngineState engine) {
            double blocked = 0;
            for (String held : engine.held().adapters().keySet()) {
                boolean alone = fleet.availableReplicas(held) <= 1;
                double part = alone ? BLOCKED_ALONE : BLOCKED_SHARED;
                blocked += demand.adapterArrivalsPerSecond(held) * part;
            }
            return blocked;
        }

        // While an engine loads from the store, it cannot load the models that only it has a copy
        // of.
        private double soleCopyRequests(EngineState engine) {
            double hurt = 0;
            for (String model : engine.modelsWithCopy()) {
                if (fleet.enginesWithCopy(model) == 1) {
                    hurt += SOLE_COPY + demand.arrivalsPerSecond(model);
                }
            }
            return hurt;
        }

        private boolean isWorthwhile(Candidate best, String model, boolean needed) {
            double gain =
                    fleet.replicas(model) > 0
                            ? demand.arrivalsPerSecond(model) * BUSY_GAIN
                            : gain(best, model);
            if (!needed && best.evictionCost() > gain && !isFirstCopyBeforeRequests(model)) {
                return false;
            }
            if (best.source() != LoadSource.STORE) {
                return true;
            }
            if (fleet.arrivingReplicas(model) > 0) {
                return false;
            }
            if (fleet.enginesWithCopy(model) == 0) {
                return storeAllows(needed);
            }
            if (!needed && !hasSpareCopy(model)) {
                return !anyRequestedModelIsNowhere() && storeAllows(false);
            }
            if (!needed || !hasWaitedTooLong(model)) {
                return false;
            }
            return ReplicaGoal.isBusy(model, demand)
                    ? storeAllows(true)
                    : chosenFromStore == 0 && StoreLoadLimiter.countRunning(engines) == 0;
        }

        // The choices of a round become orders only after it, so they are counted here. Otherwise a
        // dozen models that requests wait for would be loaded from the store at once, and each load
        // would take minutes.
        private boolean storeAllows(boolean needed) {
            return storeLoads.allows(spec, engines, chosenFromStore, needed, now);
        }

        // The store allows a few loads per minute. If they were spent on second copies of busy
        // models, models that are requested now and then and that no engine can load would never be
        // loaded.
        private boolean anyRequestedModelIsNowhere() {
            return spec.models().keySet().stream()
                    .anyMatch(
                            model ->
                                    demand.arrivalsPerSecond(model) > 0
                                            && isNowhere(model)
                                            && fleet.arrivingReplicas(model) == 0);
        }

        private boolean isNowhere(String model) {
            return fleet.enginesWithCopy(model) == 0 && fleet.replicas(model) == 0;
        }

        // Before the first request nobody misses an evicted model, and it can be loaded from disk
        // in a second. A model that no engine has a copy of would take longer than its first
        // callers can wait.
        private boolean isFirstCopyBeforeRequests(String model) {
            return demand.hasSeenNoRequests() && isNowhere(model);
        }

        // If the only copy of a busy model is on the engine that already holds it, a second replica
        // can come only from the store. A single replica would run out of slots and adapter slots.
        private boolean hasSpareCopy(String model) {
            return engines.stream()
                    .anyMatch(
                            each ->
                                    fleet.isUsable(each)
                                            && each.hasCopy(model)
                                            && !each.holds(model));
        }

        private double gain(Candidate offer, String model) {
            double seconds = offer.source().loadTime(spec.models().get(model)).toMillis() / 1000.0;
            return LEAST_GAIN + demand.arrivalsPerSecond(model) * seconds * AHEAD_PART;
        }

        // A rare model waits a while for the engine that has a copy. For a busy one, dozens of
        // requests would be refused before the first has waited that long.
        private boolean hasWaitedTooLong(String model) {
            boolean busy = ReplicaGoal.isBusy(model, demand);
            Duration longest = busy ? LONGEST_IF_BUSY : LONGEST_FOR_COPY;
            if (demand.longestWait(model).compareTo(longest) > 0) {
                return true;
            }
            return busy
                    && engines.stream()
                            .filter(each -> fleet.isUsable(each) && each.hasCopy(model))
                            .allMatch(each -> each.remainingOrderTime(now).compareTo(longest) > 0);
        }
    }
}
