package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

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

    /** An engine's other models wait while it loads; each request a second weighs this. */
    private static final double BLOCKED_WEIGHT = 0.15;

    private final DemandBook demand;
    private final StoreLoads storeLoads;

    Placer(DemandBook demand, StoreLoads storeLoads) {
        this.demand = demand;
        this.storeLoads = storeLoads;
    }

    /** A model for an engine. */
    record Choice(Engine engine, String model) {}

    private record Offer(Engine engine, LoadSource source, double cost, double hurt) {}

    List<Choice> plan(EngineSpec spec, List<Engine> engines, Instant now) {
        List<Choice> choices = new ArrayList<>();
        Set<Engine> taken = new HashSet<>();
        for (String model : needed(spec, engines)) {
            place(spec, engines, model, true, taken, now).ifPresent(choices::add);
        }
        for (String model : busy(spec, engines)) {
            place(spec, engines, model, false, taken, now).ifPresent(choices::add);
        }
        for (String model : absent(spec, engines)) {
            place(spec, engines, model, false, taken, now).ifPresent(choices::add);
        }
        return choices;
    }

    private List<String> needed(EngineSpec spec, List<Engine> engines) {
        Set<String> models = new java.util.LinkedHashSet<>();
        for (LoadInput.Want want : demand.waiting()) {
            String model = want.model().model();
            if (!spec.models().containsKey(model) || coming(engines, model) > 0) {
                continue;
            }
            boolean nowhere = replicas(engines, model) == 0;
            boolean crowded = !want.model().adapted() && want.oldest().compareTo(CROWDED) > 0;
            if (nowhere || crowded) {
                models.add(model);
            }
        }
        return List.copyOf(models);
    }

    private List<String> busy(EngineSpec spec, List<Engine> engines) {
        List<String> models = new ArrayList<>();
        for (String model : spec.models().keySet()) {
            int have = replicas(engines, model) + coming(engines, model);
            if (have < ReplicaGoal.of(spec, model, demand) && coming(engines, model) == 0) {
                models.add(model);
            }
        }
        models.sort(Comparator.comparingDouble(model -> -demand.perSecond(model)));
        return models;
    }

    private List<String> absent(EngineSpec spec, List<Engine> engines) {
        List<String> models = new ArrayList<>();
        for (String model : spec.models().keySet()) {
            if (replicas(engines, model) == 0 && coming(engines, model) == 0) {
                models.add(model);
            }
        }
        models.sort(Comparator.comparingDouble(model -> -demand.perSecond(model)));
        return models;
    }

    private Optional<Choice> place(
            EngineSpec spec,
            List<Engine> engines,
            String model,
            boolean needed,
            Set<Engine> taken,
            Instant now) {
        Offer best = null;
        Room room = new Room(demand, engines);
        for (Engine engine : engines) {
            boolean open = engine.free(now) && engine.intent() == null && usable(engine);
            if (!open || taken.contains(engine) || engine.has(model)) {
                continue;
            }
            Optional<Room.Plan> plan = room.plan(engine, model, now);
            if (plan.isEmpty()) {
                continue;
            }
            Offer offer = offer(engine, model, plan.get());
            if (best == null || offer.cost() < best.cost()) {
                best = offer;
            }
        }
        if (best == null || !worthIt(best, spec, engines, model, needed, now)) {
            return Optional.empty();
        }
        taken.add(best.engine());
        return Optional.of(new Choice(best.engine(), model));
    }

    private Offer offer(Engine engine, String model, Room.Plan plan) {
        LoadSource source = engine.source(model);
        ModelSpec spec = engine.spec().models().get(model);
        double seconds = source.time(spec).toMillis() / 1000.0;
        double blocked = 0;
        for (String held : engine.held().adapters().keySet()) {
            blocked += demand.perSecond(held) * BLOCKED_WEIGHT;
        }
        return new Offer(engine, source, seconds * (1 + blocked) + plan.cost(), plan.cost());
    }

    private double gain(Offer offer, String model) {
        double seconds = offer.source().time(offer.engine().spec().models().get(model)).toMillis();
        return LEAST_GAIN + demand.perSecond(model) * seconds / 1000.0 * AHEAD_PART;
    }

    private boolean worthIt(
            Offer best,
            EngineSpec spec,
            List<Engine> engines,
            String model,
            boolean needed,
            Instant now) {
        double gain =
                replicas(engines, model) > 0
                        ? demand.perSecond(model) * BUSY_GAIN
                        : gain(best, model);
        if (!needed && best.hurt() > gain) {
            return false;
        }
        if (best.source() != LoadSource.STORE) {
            return true;
        }
        boolean elsewhere = engines.stream().anyMatch(each -> usable(each) && each.hasCopy(model));
        if (elsewhere) {
            return needed
                    && demand.oldest(model).compareTo(LONGEST_FOR_COPY) > 0
                    && storeLoads.idle(engines);
        }
        return storeLoads.allows(spec, engines, needed, now);
    }

    private int replicas(List<Engine> engines, String model) {
        return (int) engines.stream().filter(each -> usable(each) && each.has(model)).count();
    }

    private int coming(List<Engine> engines, String model) {
        int count = 0;
        for (Engine engine : engines) {
            Engine.Pending pending = engine.pending();
            boolean ordered =
                    pending != null
                            && pending.verb() == Verb.LOAD
                            && !pending.model().adapted()
                            && pending.model().model().equals(model);
            boolean intended = engine.intent() != null && engine.intent().model().equals(model);
            count += ordered || intended ? 1 : 0;
        }
        return count;
    }

    private boolean usable(Engine engine) {
        return !engine.facts().draining() && !demand.suspect(engine.id());
    }
}
