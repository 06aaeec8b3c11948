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
    private static final Duration MAX_WAIT_FOR_COPY = Duration.ofMillis(3_000);

    /**
     * The same for a busy model. Also how long all engines with a copy must still be blocked for it
     * to be loaded from the store at once.
     */
    private static final Duration MAX_WAIT_FOR_COPY_IF_BUSY = Duration.ofMillis(1_200);

    /**
     * Minimum cost, in requests per second, of blocking an engine that has the only copy of a
     * model.
     */
    private static final double SOLE_COPY_MIN_PER_SECOND = 0.05;

    /** Wait after which requests for a model that has replicas justify one more replica. */
    private static final Duration CROWDED_WAIT = Duration.ofMillis(120);

    /**
     * Seconds that one more replica of a busy model saves for each of its requests, counting those
     * that find a slot or an adapter at once and those that would be lost with the only replica.
     */
    private static final double SECONDS_SAVED_BY_REPLICA = 0.3;

    /**
     * Part of the saving of a load ahead of need that the load may cost at most. Otherwise models
     * would replace each other back and forth.
     */
    private static final double MAX_LOAD_AHEAD_COST_PART = 0.4;

    /**
     * Saving of loading a model that nobody has requested: enough to replace surplus replicas and
     * nothing else.
     */
    private static final double UNREQUESTED_GAIN = 0.001;

    /**
     * Part of the requests for adapters that wait, because their adapter is not loaded, while an
     * engine loads or unloads a model, as it takes no order for an adapter meanwhile. This part
     * applies if no other engine that holds the base model is available; otherwise hardly any of
     * them wait.
     */
    private static final double BLOCKED_PART_IF_ALONE = 0.7;

    /** The same where another engine that holds the base model is available. */
    private static final double BLOCKED_PART_IF_SHARED = 0.05;

    /**
     * Blocked adapter requests per second above which an engine does not load from the store, which
     * would block it for seconds.
     */
    private static final double MAX_BLOCKED_PER_SECOND = 0.5;

    private final DemandAggregator demand;
    private final StoreLoadLimiter storeLoadLimiter;

    ModelPlacer(DemandAggregator demand, StoreLoadLimiter storeLoadLimiter) {
        this.demand = demand;
        this.storeLoadLimiter = storeLoadLimiter;
    }

    /** A model and the engine that is to load it. */
    record Placement(EngineState engine, String model) {}

    /**
     * An engine that could load the model.
     *
     * @param cost expected waiting that the load costs, in seconds, to compare engines by
     * @param evictionCost cost of the evictions, plus the wait for running requests in seconds
     * @param losesLastCopy whether the last copy of a model is evicted for a load from the store
     */
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
    String bestModelFor(EngineState engine, String plannedModel, FleetView fleet) {
        if (ReplicaGoal.isBusy(plannedModel, demand)) {
            return plannedModel;
        }
        for (LoadInput.ModelDemand modelDemand : demand.waitingInOrder()) {
            String model = modelDemand.model().model();
            boolean eligible =
                    ReplicaGoal.isBusy(model, demand)
                            && engine.loadSource(model) != LoadSource.STORE
                            && !engine.holds(model);
            if (eligible && fleet.replicas(model) == 0 && fleet.soonArrivingReplicas(model) == 0) {
                return model;
            }
        }
        return plannedModel;
    }

    /**
     * Returns the placements of a planning round.
     *
     * @param oversubscribed whether more models are configured than the engines have room for
     * @param ahead whether to place models that no request waits for as well
     */
    List<Placement> plan(
            EngineSpec spec,
            MemoryFragmentation fragmentation,
            List<EngineState> engines,
            boolean oversubscribed,
            boolean ahead,
            Instant now) {
        PlanningRound round =
                new PlanningRound(
                        spec,
                        fragmentation,
                        engines,
                        oversubscribed,
                        new FleetView(engines, demand, now),
                        now);
        List<Placement> placements = new ArrayList<>();
        for (String model : round.neededModels()) {
            round.place(model, true).ifPresent(placements::add);
        }
        if (ahead) {
            round.modelsBelowGoal()
                    .forEach(model -> round.place(model, false).ifPresent(placements::add));
            round.modelsWithoutReplica()
                    .forEach(model -> round.place(model, false).ifPresent(placements::add));
        }
        return placements;
    }

    /** One planning round over all engines of a service. */
    private final class PlanningRound {
        private final EngineSpec spec;
        private final List<EngineState> engines;
        private final FleetView fleet;
        private final EvictionPlanner evictions;
        private final Instant now;
        private final boolean keepsAdaptersAvailable;
        private final Set<EngineState> assigned = new HashSet<>();
        private int chosenFromStore;

        PlanningRound(
                EngineSpec spec,
                MemoryFragmentation fragmentation,
                List<EngineState> engines,
                boolean oversubscribed,
                FleetView fleet,
                Instant now) {
            this.spec = spec;
            this.engines = engines;
            this.fleet = fleet;
            this.evictions = new EvictionPlanner(demand, fleet, fragmentation);
            this.now = now;
            this.keepsAdaptersAvailable =
                    oversubscribed
                            && engines.stream()
                                    .anyMatch(
                                            each ->
                                                    fleet.isUsable(each)
                                                            && !isNeededForAdapters(each));
        }

        Set<String> neededModels() {
            Set<String> models = new LinkedHashSet<>();
            for (LoadInput.ModelDemand modelDemand : demand.waitingInOrder()) {
                String model = modelDemand.model().model();
                if (!spec.models().containsKey(model) || fleet.soonArrivingReplicas(model) > 0) {
                    continue;
                }
                boolean crowded =
                        !modelDemand.model().hasAdapter()
                                && modelDemand.longestWait().compareTo(CROWDED_WAIT) > 0;
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
                Optional<Candidate> candidate =
                        canLoad(engine, model) ? candidate(engine, model) : Optional.empty();
                boolean mayLoseLastCopy = needed || isFirstCopyBeforeRequests(model);
                boolean eligible =
                        candidate.isPresent()
                                && (mayLoseLastCopy || !candidate.get().losesLastCopy());
                if (eligible && (best == null || candidate.get().cost() < best.cost())) {
                    best = candidate.get();
                }
            }
            if (best == null || !isWorthwhile(best, model, needed)) {
                return Optional.empty();
            }
            assigned.add(best.engine());
            chosenFromStore += best.source() == LoadSource.STORE ? 1 : 0;
            fleet.markBusy(best.engine());
            return Optional.of(new Placement(best.engine(), model));
        }

        private boolean canLoad(EngineState engine, String model) {
            return engine.acceptsOrders(now)
                    && engine.plannedLoad() == null
                    && fleet.isUsable(engine)
                    && !assigned.contains(engine)
                    && !engine.holds(model);
        }

        private Optional<Candidate> candidate(EngineState engine, String model) {
            double blocked = blockedAdapterRequests(engine);
            if (engine.loadSource(model) == LoadSource.STORE
                    && (blocked > MAX_BLOCKED_PER_SECOND
                            || keepsAdaptersAvailable && isNeededForAdapters(engine))) {
                return Optional.empty();
            }
            double costPerSecond = 1 + demand.arrivalsPerSecond(model) + blocked;
            return evictions
                    .plan(engine, model, costPerSecond, now)
                    .map(plan -> candidate(engine, model, plan, costPerSecond));
        }

        private boolean losesLastCopy(EngineState engine, String model, EvictionPlanner.Plan plan) {
            return engine.loadSource(model) == LoadSource.STORE
                    && plan.victims().stream()
                            .anyMatch(each -> !fleet.isAvailableElsewhere(engine, each));
        }

        private Candidate candidate(
                EngineState engine, String model, EvictionPlanner.Plan plan, double costPerSecond) {
            LoadSource source = engine.loadSource(model);
            ModelSpec modelSpec = spec.models().get(model);
            double loadSeconds = source.loadTime(modelSpec).toMillis() / 1000.0;
            double cost = (plan.waitSeconds() + loadSeconds) * costPerSecond + plan.cost();
            if (source == LoadSource.STORE) {
                cost += loadSeconds * soleCopyRequests(engine);
            }
            double evictionCost = plan.cost() + plan.waitSeconds();
            return new Candidate(
                    engine, source, cost, evictionCost, losesLastCopy(engine, model, plan));
        }

        // A load from the store takes seconds, in which the engine accepts no order for an adapter.
        // If all engines were needed for adapters, no model could be loaded from the store.
        private boolean isNeededForAdapters(EngineState engine) {
            for (String held : engine.held().adapters().keySet()) {
                if (fleet.availableReplicas(held) <= 1 && usesAdapters(engine, held)) {
                    return true;
                }
            }
            return false;
        }

        // Until demand is known, the adapters that are loaded are taken to be in use.
        private boolean usesAdapters(EngineState engine, String model) {
            return demand.adapterArrivalsPerSecond(model) > 0
                    || demand.isWarmingUp(now) && !engine.held().adapters().get(model).isEmpty();
        }

        private double blockedAdapterRequests(EngineState engine) {
            double blocked = 0;
            for (String held : engine.held().adapters().keySet()) {
                boolean alone = fleet.availableReplicas(held) <= 1;
                double part = alone ? BLOCKED_PART_IF_ALONE : BLOCKED_PART_IF_SHARED;
                blocked += demand.adapterArrivalsPerSecond(held) * part;
            }
            return blocked;
        }

        // While an engine loads from the store, it cannot load the models that only it has a copy
        // of.
        private double soleCopyRequests(EngineState engine) {
            double requestsPerSecond = 0;
            for (String model : engine.modelsWithCopy()) {
                if (fleet.enginesWithCopy(model) == 1) {
                    requestsPerSecond += SOLE_COPY_MIN_PER_SECOND + demand.arrivalsPerSecond(model);
                }
            }
            return requestsPerSecond;
        }

        private boolean isWorthwhile(Candidate best, String model, boolean needed) {
            double gain =
                    fleet.replicas(model) > 0
                            ? demand.arrivalsPerSecond(model) * SECONDS_SAVED_BY_REPLICA
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
            return storeLoadLimiter.allows(spec, engines, chosenFromStore, purpose(needed), now);
        }

        private StoreLoadLimiter.Purpose purpose(boolean needed) {
            if (needed) {
                return StoreLoadLimiter.Purpose.NEEDED;
            }
            return demand.hasSeenNoRequests()
                    ? StoreLoadLimiter.Purpose.BEFORE_REQUESTS
                    : StoreLoadLimiter.Purpose.AHEAD;
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

        private double gain(Candidate candidate, String model) {
            double seconds =
                    candidate.source().loadTime(spec.models().get(model)).toMillis() / 1000.0;
            return UNREQUESTED_GAIN
                    + demand.arrivalsPerSecond(model) * seconds * MAX_LOAD_AHEAD_COST_PART;
        }

        // A rare model waits a while for the engine that has a copy. For a busy one, dozens of
        // requests would be refused before the first has waited that long.
        private boolean hasWaitedTooLong(String model) {
            boolean busy = ReplicaGoal.isBusy(model, demand);
            Duration maxWait = busy ? MAX_WAIT_FOR_COPY_IF_BUSY : MAX_WAIT_FOR_COPY;
            if (demand.longestWait(model).compareTo(maxWait) > 0) {
                return true;
            }
            return busy
                    && engines.stream()
                            .filter(each -> fleet.isUsable(each) && each.hasCopy(model))
                            .allMatch(each -> each.remainingOrderTime(now).compareTo(maxWait) > 0);
        }
    }
}
