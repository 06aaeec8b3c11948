package io.damaskyoke.control.loads;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * What would have to go from an engine so that a model fits, and how much that would hurt.
 *
 * <p>The pattern: memory holds about two thirds of the models, a model that went comes back from
 * its engine's own disk in well under a second, and requests for rare models come seconds apart. So
 * what is idle now goes first, by how soon it is likely to be asked for again.
 */
final class Room {
    /** Those who waited for a model need this long to reach it once it is ready. */
    static final Duration MOMENT = Duration.ofMillis(1_200);

    /** A model with a second replica is missed less. */
    private static final double REPLICATED = 0.15;

    /** An unload waits for the model's runs, and the upstream takes no other order meanwhile. */
    private static final double RUN_SECONDS = 1.2;

    /** More runs last longer together, and show that more requests are on their way. */
    private static final double CROWD_SECONDS = 0.3;

    /** A model without requests is given up in the order of its size; this is next to nothing. */
    private static final double IDLE_COST = 0.002;

    private final DemandBook demand;
    private final FleetView fleet;

    Room(DemandBook demand, FleetView fleet) {
        this.demand = demand;
        this.fleet = fleet;
    }

    /** What goes, and what that costs in expected waiting seconds a second. */
    record Plan(List<String> victims, double cost) {}

    /** The cheapest way to make room, or empty if there is none now. */
    Optional<Plan> plan(Engine engine, String model, Instant now) {
        double missing = engine.weight(model) - engine.freeMb();
        if (missing <= 0) {
            return Optional.of(new Plan(List.of(), 0));
        }
        List<String> candidates = new ArrayList<>();
        for (String held : engine.held().adapters().keySet()) {
            if (evictable(engine, held, now)) {
                candidates.add(held);
            }
        }
        candidates.sort(Comparator.comparingDouble(each -> cost(engine, each)));
        List<String> victims = new ArrayList<>();
        double cost = 0;
        for (String candidate : candidates) {
            if (missing <= 0) {
                break;
            }
            victims.add(candidate);
            cost += cost(engine, candidate);
            missing -= freed(engine, candidate);
        }
        if (missing > 0) {
            return Optional.empty();
        }
        dropNeedless(engine, victims, -missing);
        return Optional.of(new Plan(victims, cost));
    }

    // A small cheap victim is needless once a larger one that was added after it makes the room.
    private void dropNeedless(Engine engine, List<String> victims, double spare) {
        double left = spare;
        for (String victim : List.copyOf(victims)) {
            double freed = freed(engine, victim);
            if (victims.size() > 1 && freed <= left) {
                victims.remove(victim);
                left -= freed;
            }
        }
    }

    private boolean evictable(Engine engine, String model, Instant now) {
        int goal = ReplicaGoal.of(engine.spec(), model, demand);
        return (demand.waitingFor(model) == 0 || fleet.replicas(model) > 1)
                && (goal == 0 || fleet.replicas(model) > goal)
                && !engine.justLoaded(model, now, MOMENT);
    }

    private double cost(Engine engine, String model) {
        double seconds = 1.0;
        if (engine.spec().models().containsKey(model)) {
            seconds = engine.spec().models().get(model).fromDisk().toMillis() / 1000.0;
        }
        double cost = IDLE_COST + demand.perSecond(model) * seconds;
        int running = demand.running(engine.id(), model);
        cost += running == 0 ? 0 : RUN_SECONDS + running * CROWD_SECONDS;
        return fleet.replicas(model) > 1 ? cost * REPLICATED : cost;
    }

    private static double freed(Engine engine, String model) {
        int adapters = engine.held().adapters().get(model).size();
        return engine.weight(model) + adapters * engine.adapterMb(model);
    }
}
