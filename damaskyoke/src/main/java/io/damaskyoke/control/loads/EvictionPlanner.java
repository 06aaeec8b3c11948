package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.ModelRef;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses which models to evict from an engine so that a given model fits, and estimates the cost.
 *
 * <p>The expected load is models of which memory holds about two thirds, requests for rare models
 * seconds apart, and reloads from the engine's own disk in well under a second. So models that are
 * idle now are evicted first, in the order of how soon they are likely to be requested again.
 */
final class EvictionPlanner {
    /**
     * How long a model is protected after its load: the requests that waited for it need this long
     * to reach it.
     */
    static final Duration PROTECTION_AFTER_LOAD = Duration.ofMillis(1_200);

    /**
     * The same where dozens of requests wait for another model: the first of the requests for the
     * loaded one reach it in this time.
     */
    static final Duration SHORT_PROTECTION_AFTER_LOAD = Duration.ofMillis(400);

    /** Factor of the cost of evicting a model that has another replica. */
    private static final double REPLICATED_COST_FACTOR = 0.15;

    /**
     * Expected wait of an unload for a running request. An unload waits for the model's running
     * requests, and the upstream takes no other order meanwhile. A typical request runs for 1.5 s,
     * some for 5 s.
     */
    private static final double EXPECTED_RUN_SECONDS = 2.0;

    /**
     * How long a model waits for an engine on which another model becomes idle. The first model to
     * become idle can be evicted at once, whereas an unload that was ordered earlier waits for the
     * model it models and blocks its engine for everything else meanwhile.
     */
    private static final Duration MAX_WAIT_FOR_IDLE = Duration.ofMillis(1_500);

    /**
     * Added to the wait for each running request: several together run longer, and show that more
     * requests are coming.
     */
    private static final double SECONDS_PER_RUNNING_REQUEST = 0.3;

    /**
     * Cost of evicting a model without requests. It is close to zero, so that such models are
     * evicted by size.
     */
    private static final double IDLE_COST = 0.002;

    /**
     * Added to the cost of evicting a model without another copy before a load from the store: it
     * cannot be loaded again for the seconds that this load takes, and it may be the model that is
     * requested most next.
     */
    private static final double LAST_COPY_COST = 6.0;

    /**
     * Ratio of arrival rates above which a busy model may evict another one that is otherwise
     * protected.
     */
    private static final double OUTWEIGHING_RATIO = 5;

    /** Limit of the models that are considered for eviction; the cheapest ones are kept. */
    private static final int MAX_CANDIDATES = 6;

    private final DemandAggregator demand;
    private final FleetView fleet;
    private final MemoryFragmentation fragmentation;

    EvictionPlanner(DemandAggregator demand, FleetView fleet, MemoryFragmentation fragmentation) {
        this.demand = demand;
        this.fleet = fleet;
        this.fragmentation = fragmentation;
    }

    /**
     * Models to evict.
     *
     * @param cost of not having them, in seconds of expected waiting per second
     * @param waitSeconds expected time until their running requests are over, as an unload waits
     *     for them
     */
    record Plan(List<String> victims, double cost, double waitSeconds) {}

    private record Victim(String model, double freedMb, double cost, double waitSeconds) {}

    /**
     * Returns the cheapest way to make room for the model, or empty if there is none now. Each
     * second until there is room costs {@code costPerSecond}.
     */
    Optional<Plan> plan(EngineState engine, String model, double costPerSecond, Instant now) {
        if (!engine.wouldFitAfterRestart(new ModelRef(model, ""))) {
            return Optional.empty();
        }
        double sizeMb = engine.modelMb(model);
        double freeMb = engine.freeMb();
        if (sizeMb <= freeMb) {
            return Optional.of(
                    new Plan(List.of(), fragmentation.costOfChange(freeMb, freeMb - sizeMb), 0));
        }
        List<Victim> candidates = new ArrayList<>();
        for (String heldModel : engine.held().adapters().keySet()) {
            if (isEvictable(engine, heldModel, model, now)) {
                candidates.add(victim(engine, heldModel, engine.loadSource(model)));
            }
        }
        if (candidates.size() > MAX_CANDIDATES) {
            candidates.sort(Comparator.comparingDouble(Victim::cost));
            candidates.subList(MAX_CANDIDATES, candidates.size()).clear();
        }
        return cheapest(candidates, sizeMb, freeMb, costPerSecond);
    }

    // An upstream holds a handful of models, so all combinations are tried: a cheap victim that
    // leaves a gap in which no model fits costs more than it seems.
    private Optional<Plan> cheapest(
            List<Victim> candidates, double sizeMb, double freeMb, double costPerSecond) {
        Plan best = null;
        double lowestCost = Double.MAX_VALUE;
        for (int subset = 1; subset < 1 << candidates.size(); subset++) {
            double cost = 0;
            double seconds = 0;
            double availableMb = freeMb;
            for (int i = 0; i < candidates.size(); i++) {
                if ((subset >> i & 1) == 1) {
                    cost += candidates.get(i).cost();
                    seconds += candidates.get(i).waitSeconds();
                    availableMb += candidates.get(i).freedMb();
                }
            }
            if (availableMb < sizeMb) {
                continue;
            }
            cost += Math.max(0, fragmentation.costOfChange(freeMb, availableMb - sizeMb));
            double totalCost = cost + seconds * costPerSecond;
            if (totalCost < lowestCost) {
                lowestCost = totalCost;
                best = new Plan(modelsIn(candidates, subset), cost, seconds);
            }
        }
        return Optional.ofNullable(best);
    }

    private static List<String> modelsIn(List<Victim> candidates, int subset) {
        List<String> models = new ArrayList<>();
        for (int i = 0; i < candidates.size(); i++) {
            if ((subset >> i & 1) == 1) {
                models.add(candidates.get(i).model());
            }
        }
        return models;
    }

    // A model that is requested many times as often may evict one that has a request or two, or one
    // that was busy a while ago: dozens of its requests would be refused otherwise. While demand is
    // not known yet, models with several replicas are taken to be the busy ones.
    private boolean isEvictable(
            EngineState engine, String heldModel, String forModel, Instant now) {
        boolean outweighed =
                ReplicaGoal.isBusy(forModel, demand)
                        && demand.arrivalsPerSecond(forModel)
                                > OUTWEIGHING_RATIO * demand.arrivalsPerSecond(heldModel);
        if (engine.wasLoadedWithin(
                heldModel, now, outweighed ? SHORT_PROTECTION_AFTER_LOAD : PROTECTION_AFTER_LOAD)) {
            return false;
        }
        if (outweighed) {
            return true;
        }
        boolean inUse = demand.running(engine.id(), heldModel) > 0;
        if (inUse && demand.longestWait(forModel).compareTo(MAX_WAIT_FOR_IDLE) < 0) {
            return false;
        }
        if (demand.isWarmingUp(now) && fleet.replicas(heldModel) > 1) {
            return false;
        }
        if (fleet.replicas(heldModel) > 1 && isBusyWithoutReplica(forModel)) {
            return true;
        }
        int goal = ReplicaGoal.replicasFor(engine.spec(), heldModel, demand);
        return (demand.waitingFor(heldModel) == 0 || fleet.replicas(heldModel) > 1)
                && (goal == 0 || fleet.replicas(heldModel) > goal);
    }

    // The engines may have no room for as many replicas as all busy models should have. Those that
    // have none could never be loaded if the others kept their second ones.
    private boolean isBusyWithoutReplica(String model) {
        return fleet.replicas(model) == 0 && ReplicaGoal.isBusy(model, demand);
    }

    private Victim victim(EngineState engine, String model, LoadSource source) {
        double reloadSeconds = 1.0;
        if (engine.spec().models().containsKey(model)) {
            reloadSeconds = engine.spec().models().get(model).diskLoadTime().toMillis() / 1000.0;
        }
        double cost = IDLE_COST + demand.arrivalsPerSecond(model) * reloadSeconds;
        if (fleet.replicas(model) > 1) {
            cost *= REPLICATED_COST_FACTOR;
        }
        if (source == LoadSource.STORE && !fleet.isAvailableElsewhere(engine, model)) {
            cost += LAST_COPY_COST;
        }
        int running = demand.running(engine.id(), model);
        double seconds =
                running == 0 ? 0 : EXPECTED_RUN_SECONDS + running * SECONDS_PER_RUNNING_REQUEST;
        return new Victim(model, freedMb(engine, model), cost, seconds);
    }

    private static double freedMb(EngineState engine, String model) {
        int adapters = engine.held().adapters().get(model).size();
        return engine.heldMb(model) + adapters * engine.adapterMb(model);
    }
}
