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

    /** The same where dozens of others wait: the first of them reach it in this time. */
    static final Duration SHORT_MOMENT = Duration.ofMillis(400);

    /** A model with a second replica is missed less. */
    private static final double REPLICATED = 0.15;

    /**
     * An unload waits for the model's runs, and the upstream takes no other order meanwhile. A
     * usual run lasts a second and a half, some last five.
     */
    private static final double RUN_SECONDS = 2.0;

    /**
     * So long a model waits for an engine on which another falls idle. The first run to end gives
     * its place at once; an unload that was ordered before waits for the one it was ordered for,
     * and bars its engine for everything else meanwhile.
     */
    private static final Duration LONGEST_FOR_IDLE = Duration.ofMillis(1_500);

    /** More runs last longer together, and show that more requests are on their way. */
    private static final double CROWD_SECONDS = 0.3;

    /** A model without requests is given up in the order of its size; this is next to nothing. */
    private static final double IDLE_COST = 0.002;

    /**
     * What goes before a load from the store, and has no other copy, can't come back for the
     * seconds that this takes. It may be the model that all ask for next.
     */
    private static final double LOST_COPY = 6.0;

    /** So many times as often asked for, a busy model goes before another that is protected. */
    private static final double OUTWEIGHS = 5;

    /** Of more models than this, only those cheapest to miss are looked at. */
    private static final int MOST_CANDIDATES = 6;

    private final DemandBook demand;
    private final FleetView fleet;
    private final Packing packing;

    Room(DemandBook demand, FleetView fleet, Packing packing) {
        this.demand = demand;
        this.fleet = fleet;
        this.packing = packing;
    }

    /**
     * What goes.
     *
     * @param cost of missing that, in expected waiting seconds a second
     * @param seconds until its runs are over, as an unload waits for them
     */
    record Plan(List<String> victims, double cost, double seconds) {}

    private record Victim(String model, double freed, double cost, double seconds) {}

    /**
     * The cheapest way to make room, or empty if there is none now. A second until the room is
     * there costs {@code perSecond}.
     */
    Optional<Plan> plan(Engine engine, String model, double perSecond, Instant now) {
        double weight = engine.weight(model);
        double free = engine.freeMb();
        if (weight <= free) {
            return Optional.of(new Plan(List.of(), packing.loss(free, free - weight), 0));
        }
        List<Victim> candidates = new ArrayList<>();
        for (String held : engine.held().adapters().keySet()) {
            if (evictable(engine, held, model, now)) {
                candidates.add(victim(engine, held, engine.source(model)));
            }
        }
        if (candidates.size() > MOST_CANDIDATES) {
            candidates.sort(Comparator.comparingDouble(Victim::cost));
            candidates.subList(MOST_CANDIDATES, candidates.size()).clear();
        }
        return cheapest(candidates, weight, free, perSecond);
    }

    // An upstream holds a handful of models, so all ways are looked at: a cheap victim that leaves
    // a gap in which no model fits costs more than it seems.
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
                    seconds += candidates.get(i).seconds();
                    room += candidates.get(i).freed();
                }
            }
            if (room < weight) {
                continue;
            }
            cost += Math.max(0, packing.loss(free, room - weight));
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

    // A model that is asked for many times as often goes before one that has a request or two, and
    // before one that was busy a while ago: dozens of its requests would be refused meanwhile.
    // As long as demand isn't known, the models with several replicas are the ones that were busy.
    private boolean evictable(Engine engine, String held, String forModel, Instant now) {
        boolean outweighed =
                ReplicaGoal.busy(forModel, demand)
                        && demand.perSecond(forModel) > OUTWEIGHS * demand.perSecond(held);
        if (engine.justLoaded(held, now, outweighed ? SHORT_MOMENT : MOMENT)) {
            return false;
        }
        if (outweighed) {
            return true;
        }
        boolean runs = demand.running(engine.id(), held) > 0;
        if (runs && demand.oldest(forModel).compareTo(LONGEST_FOR_IDLE) < 0) {
            return false;
        }
        if (demand.young(now) && fleet.replicas(held) > 1) {
            return false;
        }
        int goal = ReplicaGoal.of(engine.spec(), held, demand);
        return (demand.waitingFor(held) == 0 || fleet.replicas(held) > 1)
                && (goal == 0 || fleet.replicas(held) > goal);
    }

    private Victim victim(Engine engine, String model, LoadSource source) {
        double reload = 1.0;
        if (engine.spec().models().containsKey(model)) {
            reload = engine.spec().models().get(model).diskLoadTime().toMillis() / 1000.0;
        }
        double cost = IDLE_COST + demand.perSecond(model) * reload;
        if (fleet.replicas(model) > 1) {
            cost *= REPLICATED;
        }
        if (source == LoadSource.STORE && !fleet.elsewhere(engine, model)) {
            cost += LOST_COPY;
        }
        int running = demand.running(engine.id(), model);
        double seconds = running == 0 ? 0 : RUN_SECONDS + running * CROWD_SECONDS;
        return new Victim(model, freed(engine, model), cost, seconds);
    }

    private static double freed(Engine engine, String model) {
        int adapters = engine.held().adapters().get(model).size();
        return engine.weight(model) + adapters * engine.adapterMb(model);
    }
}
