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
final class Placer {
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

    private final DemandBook demand;
    private final StoreLoads storeLoads;

    Placer(DemandBook demand, StoreLoads storeLoads) {
        this.demand = demand;
        this.storeLoads = storeLoads;
    }

    /** A model and the engine that is to load it. */
    record Choice(Engine engine, String model) {}

    private record Offer(
            Engine engine, LoadSource source, double cost, double hurt, boolean losesCopy) {}

    /**
     * Returns the best use of memory that was just freed: the model it was meant for, or a busy one
     * that requests have begun to wait for since. An unload can take seconds, and a model that
     * becomes busy in that time gets dozens of requests per second.
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

    /** One planning round over all engines of a service. */
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
                boolean crowded = !want.model().adapted() && want.oldest().compareTo(CROWDED) > 0;
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

        // While an engine loads from the store, it cannot load the models that only it has a copy
        // of.
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

        // The choices of a round become orders only after it, so they are counted here. Otherwise a
        // dozen models that requests wait for would be loaded from the store at once, and each load
        // would take minutes.
        private boolean storeAllows(boolean needed) {
            return storeLoads.allows(spec, engines, chosenFromStore, needed, now);
        }

        // The store allows a few loads per minute. If they were spent on second copies of busy
        // models, models that are requested now and then and that no engine can load would never be
        // loaded.
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

        // Before the first request nobody misses an evicted model, and it can be loaded from disk
        // in a second. A model that no engine has a copy of would take longer than its first
        // callers can wait.
        private boolean fetchesFirstCopy(String model) {
            return demand.nobodyAsked() && nowhere(model);
        }

        // If the only copy of a busy model is on the engine that already holds it, a second replica
        // can come only from the store. A single replica would run out of slots and adapter slots.
        private boolean spareCopy(String model) {
            return engines.stream()
                    .anyMatch(
                            each -> fleet.usable(each) && each.hasCopy(model) && !each.has(model));
        }

        private double gain(Offer offer, String model) {
            double seconds = offer.source().time(spec.models().get(model)).toMillis() / 1000.0;
            return LEAST_GAIN + demand.perSecond(model) * seconds * AHEAD_PART;
        }

        // A rare model waits a while for the engine that has a copy. For a busy one, dozens of
        // requests would be refused before the first has waited that long.
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
