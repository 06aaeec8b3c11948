package io.damaskyoke.control.loads;

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
    static final Duration MOMENT = Duration.ofMillis(1_200);

    /**
     * The same where dozens of requests wait for another model: the first of the requests for the
     * loaded one reach it in this time.
     */
    static final Duration SHORT_MOMENT = Duration.ofMillis(400);

    /** Factor of the cost of evicting a model that has another replica. */
    private static final double REPLICATED = 0.15;

    /**
     * Expected wait of an unload for a running request. An unload waits for the model's running
     * requests, and the upstream takes no other order meanwhile. A typical request runs for 1.5 s,
     * some for 5 s.
     */
    private static final double RUN_SECONDS = 2.0;

    /**
     * How long a model waits for an engine on which another model becomes idle. The first model to
     * become idle can be evicted at once, whereas an unload that was ordered earlier waits for the
     * model it names and blocks its engine for everything else meanwhile.
     */
    private static final Duration LONGEST_FOR_IDLE = Duration.ofMillis(1_500);

    /**
     * Added to the wait for each running request: several together run longer, and show that more
     * requests are coming.
     */
    private static final double CROWD_SECONDS = 0.3;

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
    private static final double LOST_COPY = 6.0;

    /**
     * Ratio of arrival rates above which a busy model may evict another one that is otherwise
     * protected.
     */
    private static final double OUTWEIGHS = 5;

    /** Limit of the models that are considered for eviction; the cheapest ones are kept. */
    private static final int MOST_CANDIDATES = 6;

    private final DemandAggregator demand;
    private final FleetView fleet;
    private final MemoryFragmentation packing;

    EvictionPlanner(DemandAggregator demand, FleetView fleet, MemoryFragmentation packing) {
        this.demand = demand;
        this.fleet = fleet;
        this.packing = packing;
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
     * second until the room is there costs {@code perSecond}.
     */
    Optional<Plan> plan(EngineState engine, String model, double perSecond, Instant now) {
        double weight = engine.modelMb(model);
        double free = engine.freeMb();
        if (weight <= free) {
            return Optional.of(new Plan(List.of(), packing.costOfChange(free, free - weight), 0));
        }
        List<Victim> candidates = new ArrayList<>();
        for (String held : engine.held().adapters().keySet()) {
            if (isEvictable(engine, held, model, now)) {
                candidates.add(victim(engine, held, engine.loadSource(model)));
            }
        }
        if (candidates.size() > MOST_CANDIDATES) {
            candidates.sort(Comparator.comparingDouble(Victim::cost));
            candidates.subList(MOST_CANDIDATES, candidates.size()).clear();
        }
        return cheapest(candidates, weight, free, perSecond);
    }

    // An upstream holds a handful of models, so all combinations are tried: a cheap victim that
    // leaves a gap in which no model fits costs more than it seems.
    private Optional<Plan> cheapest(
            List<Victim> candidates, double weight, double free, double perSecond) {
        Plan best = null;
        double least = Double.MAX_VALUE;
        for (int choice = 1; choice < 1 << candidates.size(); choice++) {
            double cost = 0;
            double seconds = 0;
            double room = free;
            for (int i = 0; i < candidates.size(); i++) {
                if ((choice >> i & 1) == 1) {
                    cost += candidates.get(i).cost();
                    seconds += candidates.get(i).waitSeconds();
                    room += candidates.get(i).freedMb();
                }
            }
            if (room < weight) {
                continue;
            }
            cost += Math.max(0, packing.costOfChange(free, room - weight));
            double whole = cost + seconds * perSecond;
            if (whole < least) {
                least = whole;
                best = new Plan(names(candidates, choice), cost, seconds);
            }
        }
        return Optional.ofNullable(best);
    }

    private static List<String> names(List<Victim> candidates, int choice) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < candidates.size(); i++) {
            if ((choice >> i & 1) == 1) {
                names.add(candidates.get(i).model());
            }
        }
        return names;
    }

    // A model that is requested many times as often may evict one that has a request or two, or one
    // that was busy a while ago: dozens of its requests would be refused otherwise. While demand is
    // not known yet, models with several replicas are taken to be the busy ones.
    private boolean isEvictable(EngineState engine, String held, String forModel, Instant now) {
        boolean outweighed =
                ReplicaGoal.isBusy(forModel, demand)
                        && demand.arrivalsPerSecond(forModel)
                                > OUTWEIGHS * demand.arrivalsPerSecond(held);
        if (engine.wasLoadedWithin(held, now, outweighed ? SHORT_MOMENT : MOMENT)) {
            return false;
        }
        if (outweighed) {
            return true;
        }
        boolean runs = demand.running(engine.id(), held) > 0;
        if (runs && demand.longestWait(forModel).compareTo(LONGEST_FOR_IDLE) < 0) {
            return false;
        }
        if (demand.isWarmingUp(now) && fleet.replicas(held) > 1) {
            return false;
        }
        int goal = ReplicaGoal.replicasFor(engine.spec(), held, demand);
        return (demand.waitingFor(held) == 0 || fleet.replicas(held) > 1)
                && (goal == 0 || fleet.replicas(held) > goal);
    }

    private Victim victim(EngineState engine, String model, LoadSource source) {
        double reload = 1.0;
        if (engine.spec().models().containsKey(model)) {
            reload = engine.spec().models().get(model).fromDisk().toMillis() / 1000.0;
        }
        double cost = IDLE_COST + demand.arrivalsPerSecond(model) * reload;
        if (fleet.replicas(model) > 1) {
            cost *= REPLICATED;
        }
        if (source == LoadSource.STORE && !fleet.isAvailableElsewhere(engine, model)) {
            cost += LOST_COPY;
        }
        int running = demand.running(engine.id(), model);
        double seconds = running == 0 ? 0 : RUN_SECONDS + running * CROWD_SECONDS;
        return new Victim(model, freedMb(engine, model), cost, seconds);
    }

    private static double freedMb(EngineState engine, String model) {
        int adapters = engine.held().adapters().get(model).size();
        return engine.modelMb(model) + adapters * engine.adapterMb(model);
    }
}
