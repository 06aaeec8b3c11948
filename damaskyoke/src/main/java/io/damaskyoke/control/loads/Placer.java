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
 * Picks an engine for each model that needs one: because requests wait for it, because it is busy,
 * or because no engine holds it and there is room.
 */
final class Placer {
    /**
     * A model with a copy at an engine comes from the store only if that engine was barred so long.
     * A load from the store bars its engine for many turns of other models, so that more of them
     * wait, and more would turn to the store in their turn.
     */
    private static final Duration LONGEST_FOR_COPY = Duration.ofMillis(3_000);

    /**
     * The same for a busy model, and how long its engines must still be barred to be given up on.
     */
    private static final Duration LONGEST_IF_BUSY = Duration.ofMillis(1_200);

    /** A model with its only copy at an engine that is barred weighs at least this. */
    private static final double SOLE_COPY = 0.05;

    /** Requests that have waited so long though replicas are there ask for one more. */
    private static final Duration CROWDED = Duration.ofMillis(120);

    /**
     * What one more replica of a busy model saves, in seconds for each of its requests: those that
     * find a slot or an adapter at once, and those that would be lost with the only replica.
     */
    private static final double BUSY_GAIN = 0.3;

    /** Of what a load ahead of need saves, what it may cost: exchanges must not go to and fro. */
    private static final double AHEAD_PART = 0.4;

    /** A model that nobody has asked for takes the place of needless replicas, and of no other. */
    private static final double LEAST_GAIN = 0.001;

    /**
     * While an engine loads or unloads a model it takes no order for an adapter. Where no other
     * engine with the adapter's model is open, all requests for adapters that aren't there wait;
     * else hardly any do. Of each such request a second, this part.
     */
    private static final double BLOCKED_ALONE = 0.7;

    private static final double BLOCKED_SHARED = 0.05;

    /** Where more of them would wait, the engine isn't barred for the seconds of a store's load. */
    private static final double MOST_BLOCKED = 0.5;

    private final DemandBook demand;
    private final StoreLoads storeLoads;

    Placer(DemandBook demand, StoreLoads storeLoads) {
        this.demand = demand;
        this.storeLoads = storeLoads;
    }

    /** A model for an engine. */
    record Choice(Engine engine, String model) {}

    private record Offer(
            Engine engine, LoadSource source, double cost, double hurt, boolean losesCopy) {}

    /**
     * What room that has just been made is best used for: the model it was meant for, or a busy one
     * that has come to wait meanwhile. An unload can take seconds, and a model that becomes busy in
     * them is asked for dozens of times a second.
     */
    String bestUse(Engine engine, String meantFor, FleetView fleet) {
        if (ReplicaGoal.busy(meantFor, demand)) {
            return meantFor;
        }
        for (LoadInput.Want want : demand.waiting()) {
            String model = want.model().model();
            boolean suits =
                    ReplicaGoal.busy(model, demand)
                            && engine.source(model) != LoadSource.STORE
                            && !engine.has(model);
            if (suits && fleet.replicas(model) == 0 && fleet.comingSoon(model) == 0) {
                return model;
            }
        }
        return meantFor;
    }

    List<Choice> plan(
            EngineSpec spec, Packing packing, List<Engine> engines, boolean ahead, Instant now) {
        Round round = new Round(spec, packing, engines, new FleetView(engines, demand, now), now);
        List<Choice> choices = new ArrayList<>();
        for (String model : round.needed()) {
            round.place(model, true).ifPresent(choices::add);
        }
        if (ahead) {
            round.busy().forEach(model -> round.place(model, false).ifPresent(choices::add));
            round.absent().forEach(model -> round.place(model, false).ifPresent(choices::add));
        }
        return choices;
    }

    /** One look at all engines of a service. */
    private final class Round {
        private final EngineSpec spec;
        private final List<Engine> engines;
        private final FleetView fleet;
        private final Room room;
        private final Instant now;
        private final Set<Engine> taken = new HashSet<>();
        private int chosenFromStore;

        Round(
                EngineSpec spec,
                Packing packing,
                List<Engine> engines,
                FleetView fleet,
                Instant now) {
            this.spec = spec;
            this.engines = engines;
            this.fleet = fleet;
            this.room = new Room(demand, fleet, packing);
            this.now = now;
        }

        Set<String> needed() {
            Set<String> models = new LinkedHashSet<>();
            for (LoadInput.Want want : demand.waiting()) {
                String model = want.model().model();
                if (!spec.models().containsKey(model) || fleet.comingSoon(model) > 0) {
                    continue;
                }
                boolean crowded =
                        !want.model().hasAdapter() && want.oldest().compareTo(CROWDED) > 0;
                if (fleet.replicas(model) == 0 || crowded) {
                    models.add(model);
                }
            }
            return models;
        }

        List<String> busy() {
            return byDemand(
                    model ->
                            fleet.coming(model) == 0
                                    && fleet.replicas(model) < ReplicaGoal.of(spec, model, demand));
        }

        List<String> absent() {
            return byDemand(model -> fleet.replicas(model) == 0 && fleet.coming(model) == 0);
        }

        private List<String> byDemand(Predicate<String> wanted) {
            return spec.models().keySet().stream()
                    .filter(wanted)
                    .sorted(
                            Comparator.comparingDouble((String model) -> -demand.perSecond(model))
                                    .thenComparing(Comparator.naturalOrder()))
                    .toList();
        }

        Optional<Choice> place(String model, boolean needed) {
            Offer best = null;
            for (Engine engine : engines) {
                Optional<Offer> offer =
                        open(engine, model) ? offer(engine, model) : Optional.empty();
                boolean free = needed || fetchesFirstCopy(model);
                boolean suits = offer.isPresent() && (free || !offer.get().losesCopy());
                if (suits && (best == null || offer.get().cost() < best.cost())) {
                    best = offer.get();
                }
            }
            if (best == null || !worthIt(best, model, needed)) {
                return Optional.empty();
            }
            taken.add(best.engine());
            chosenFromStore += best.source() == LoadSource.STORE ? 1 : 0;
            fleet.barred(best.engine());
            return Optional.of(new Choice(best.engine(), model));
        }

        private boolean open(Engine engine, String model) {
            return engine.free(now)
                    && engine.intent() == null
                    && fleet.usable(engine)
                    && !taken.contains(engine)
                    && !engine.has(model);
        }

        private Optional<Offer> offer(Engine engine, String model) {
            double blocked = blocked(engine);
            if (blocked > MOST_BLOCKED && engine.source(model) == LoadSource.STORE) {
                return Optional.empty();
            }
            double perSecond = 1 + demand.perSecond(model) + blocked;
            return room.plan(engine, model, perSecond, now)
                    .map(plan -> offer(engine, model, plan, perSecond));
        }

        private boolean losesCopy(Engine engine, String model, Room.Plan plan) {
            return engine.source(model) == LoadSource.STORE
                    && plan.victims().stream().anyMatch(each -> !fleet.elsewhere(engine, each));
        }

        private Offer offer(Engine engine, String model, Room.Plan plan, double perSecond) {
            LoadSource source = engine.source(model);
            ModelSpec weights = spec.models().get(model);
            double load = source.time(weights).toMillis() / 1000.0;
            double cost = (plan.seconds() + load) * perSecond + plan.cost();
            if (source == LoadSource.STORE) {
                cost += load * soleCopies(engine);
            }
            double hurt = plan.cost() + plan.seconds();
            return new Offer(engine, source, cost, hurt, losesCopy(engine, model, plan));
        }

        private double blocked(Engine engine) {
            double blocked = 0;
            for (String held : engine.held().adapters().keySet()) {
                boolean alone = fleet.open(held) <= 1;
                double part = alone ? BLOCKED_ALONE : BLOCKED_SHARED;
                blocked += demand.adaptersPerSecond(held) * part;
            }
            return blocked;
        }

        // While it loads from the store, an engine can't bring back what only it has a copy of.
        private double soleCopies(Engine engine) {
            double hurt = 0;
            for (String model : engine.copies()) {
                if (fleet.copies(model) == 1) {
                    hurt += SOLE_COPY + demand.perSecond(model);
                }
            }
            return hurt;
        }

        private boolean worthIt(Offer best, String model, boolean needed) {
            double gain =
                    fleet.replicas(model) > 0
                            ? demand.perSecond(model) * BUSY_GAIN
                            : gain(best, model);
            if (!needed && best.hurt() > gain && !fetchesFirstCopy(model)) {
                return false;
            }
            if (best.source() != LoadSource.STORE) {
                return true;
            }
            if (fleet.coming(model) > 0) {
                return false;
            }
            if (fleet.copies(model) == 0) {
                return storeAllows(needed);
            }
            if (!needed && !spareCopy(model)) {
                return !anyLacksCopy() && storeAllows(false);
            }
            if (!needed || !barred(model)) {
                return false;
            }
            return ReplicaGoal.busy(model, demand)
                    ? storeAllows(true)
                    : chosenFromStore == 0 && StoreLoads.running(engines) == 0;
        }

        // The choices of a round become orders after it. Each looked at alone, a dozen models that
        // wait would all be fetched at once, and each of them take minutes.
        private boolean storeAllows(boolean needed) {
            return storeLoads.allows(spec, engines, chosenFromStore, needed, now);
        }

        // The store gives a few loads a minute. Spent on second copies of busy models, they would
        // never come to those that are asked for now and then and that no engine can load at all.
        private boolean anyLacksCopy() {
            return spec.models().keySet().stream()
                    .anyMatch(
                            model ->
                                    demand.perSecond(model) > 0
                                            && nowhere(model)
                                            && fleet.coming(model) == 0);
        }

        private boolean nowhere(String model) {
            return fleet.copies(model) == 0 && fleet.replicas(model) == 0;
        }

        // Before the first request nobody misses what makes room, and it comes back from a disk in
        // a second. What no engine has a copy of would take its first callers longer than they can
        // wait.
        private boolean fetchesFirstCopy(String model) {
            return demand.nobodyAsked() && nowhere(model);
        }

        // A busy model whose only copy is where it is held already can have no second replica but
        // from the store. Its one replica would run out of slots and of places for adapters.
        private boolean spareCopy(String model) {
            return engines.stream()
                    .anyMatch(
                            each -> fleet.usable(each) && each.hasCopy(model) && !each.has(model));
        }

        private double gain(Offer offer, String model) {
            double seconds = offer.source().time(spec.models().get(model)).toMillis() / 1000.0;
            return LEAST_GAIN + demand.perSecond(model) * seconds * AHEAD_PART;
        }

        // A rare model waits a while for the engine that has it. For a busy one that is dozens of
        // requests, all refused, before the first has waited that long.
        private boolean barred(String model) {
            boolean busy = ReplicaGoal.busy(model, demand);
            Duration longest = busy ? LONGEST_IF_BUSY : LONGEST_FOR_COPY;
            if (demand.oldest(model).compareTo(longest) > 0) {
                return true;
            }
            return busy
                    && engines.stream()
                            .filter(each -> fleet.usable(each) && each.hasCopy(model))
                            .allMatch(each -> each.barredFor(now).compareTo(longest) > 0);
        }
    }
}
