package io.damaskyoke.control.loads;

import io.damaskyoke.control.Machine;
import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides which upstream loads and unloads which model: {@code planner.on(input, now)}.
 *
 * <p>The expected load is many rarely used models, more than fit in memory, each requested every
 * few seconds, and a few busy models that change. The first load of a model on an upstream takes
 * seconds from the weight store; each later one takes a fraction of a second from the upstream's
 * own memory or disk. So every model is brought to one upstream as early as the weight store
 * allows. From then on it shares that upstream's memory with other models and is loaded at once
 * when a request waits for it. Load times and sizes are those of the configuration.
 *
 * <p>An upstream carries out one order at a time. Each order names the number of orders that the
 * upstream must have accepted before, so a delayed order finds another number and is not carried
 * out, and an upstream never holds more than was counted.
 */
public final class LoadPlanner implements Machine<LoadInput, LoadAction> {
    /**
     * Minimum time between report requests to an upstream. Reports lag by about a tenth of a
     * second, so more frequent requests return nothing new.
     */
    private static final Duration REPORT_GAP = Duration.ofMillis(60);

    /**
     * Time between report requests to an upstream that carries out an unknown order, perhaps for
     * seconds.
     */
    private static final Duration DOUBT_GAP = Duration.ofMillis(150);

    /** Time after which an unanswered report request is repeated. */
    private static final Duration REPORT_LIMIT = Duration.ofSeconds(1);

    /** Pause after a conflict, in which the upstream can finish the order that it carries out. */
    private static final Duration AFTER_CONFLICT = Duration.ofMillis(80);

    /** Pause after an upstream has refused an order. */
    private static final Duration AFTER_REFUSAL = Duration.ofMillis(500);

    /**
     * Time between searches for models to load ahead of need. Models that requests wait for are
     * planned at once.
     */
    private static final Duration AHEAD_GAP = Duration.ofMillis(200);

    /**
     * Limit of planning rounds between two ticks that are started by reports of waiting requests.
     * Each of dozens of routers reports several times a second; a round for each report would keep
     * the leader's VM busy with nothing new.
     */
    private static final int MOST_ROUNDS_FOR_DEMAND = 2;

    /** Time after which a planned load that could not start is given up. */
    private static final Duration INTENT_LIMIT = Duration.ofSeconds(3);

    private final LoadSettings settings;
    private final DemandBook demand = new DemandBook();
    private final Map<UpstreamId, Engine> engines = new TreeMap<>();
    private final OpenLoads openLoads = new OpenLoads();
    private final StoreLoads storeLoads;
    private final Placer placer;
    private final AdapterPlanner adapters;
    private final Map<String, Packing> packings = new HashMap<>();
    private Map<String, EngineSpec> specs = new HashMap<>();
    private Set<String> drainedZones = Set.of();
    private long number;
    private boolean active;
    private Instant aheadAt = Instant.MIN;
    private int roundsForDemand;
    private boolean demandChanged;
    private long rounds;

    /** Creates a planner without upstreams or demand. */
    public LoadPlanner(LoadSettings settings) {
        this.settings = settings;
        this.storeLoads = new StoreLoads(settings.ceilingWindow());
        this.placer = new Placer(demand, storeLoads);
        this.adapters = new AdapterPlanner(demand);
    }

    @Override
    public List<LoadAction> on(LoadInput input, Instant now) {
        List<LoadAction> actions = new ArrayList<>();
        take(input, now, actions);
        if (active && due(input, now)) {
            step(now, actions);
        }
        return active ? actions : List.of();
    }

    /** Returns the number of planning rounds so far, to measure their cost. */
    public long rounds() {
        return rounds;
    }

    /** Returns the models and adapters that requests wait for and that no engine holds. */
    public UnmetNeed unmet(Instant now) {
        demand.addUp(now);
        int models = 0;
        Duration oldest = Duration.ZERO;
        for (LoadInput.Want want : demand.waiting()) {
            if (engines.values().stream().noneMatch(engine -> engine.held().has(want.model()))) {
                models++;
                oldest = want.oldest().compareTo(oldest) > 0 ? want.oldest() : oldest;
            }
        }
        return new UnmetNeed(models, oldest);
    }

    /** Returns how much of the weight store's capacity is in use. */
    public StoreUse storeUse() {
        return new StoreUse(StoreLoads.running(engines.values()), storeLoads.atFullSpeed());
    }

    private void take(LoadInput input, Instant now, List<LoadAction> actions) {
        if (input instanceof LoadInput.Configured configured) {
            configured(configured.engines());
        } else if (input instanceof LoadInput.Listed listed) {
            listed(listed);
        } else if (input instanceof LoadInput.Gone gone) {
            engines.remove(gone.upstream());
        } else if (input instanceof LoadInput.Drained drained) {
            drained(drained.zones());
        } else if (input instanceof LoadInput.Demanded demanded) {
            demanded(demanded, now);
        } else if (input instanceof LoadInput.Answered answered) {
            answered(answered, now, actions);
        } else if (input instanceof LoadInput.Reported reported) {
            reported(reported, now, actions);
        } else if (input instanceof LoadInput.Unanswered unanswered) {
            openLoads.told(unanswered.load());
        } else if (input instanceof LoadInput.NotReported notReported) {
            find(notReported.upstream()).ifPresent(Engine::silent);
        } else if (input instanceof LoadInput.Elected) {
            engines.values().forEach(Engine::forget);
            storeLoads.elected(now);
            active = true;
        } else if (input instanceof LoadInput.Resigned) {
            active = false;
        } else {
            demand.expire(now);
        }
    }

    // List changes, announced orders and reports without waiting requests are planned for at the
    // next tick.
    private boolean due(LoadInput input, Instant now) {
        if (input instanceof LoadInput.Listed || input instanceof LoadInput.Unanswered) {
            return false;
        }
        if (input instanceof LoadInput.Demanded demanded) {
            return demanded.waits() && roundsForDemand++ < MOST_ROUNDS_FOR_DEMAND;
        }
        if (input instanceof LoadInput.Tick) {
            roundsForDemand = 0;
            return demandChanged || !now.isBefore(aheadAt) || demand.anyWaits() || underWay();
        }
        return true;
    }

    private boolean underWay() {
        for (Engine engine : engines.values()) {
            if (engine.underWay()) {
                return true;
            }
        }
        return false;
    }

    private void configured(Map<String, EngineSpec> engines) {
        specs = engines;
        packings.clear();
        engines.forEach((service, spec) -> packings.put(service, Packing.of(spec)));
        Map<String, Double> weights = new HashMap<>();
        for (EngineSpec spec : engines.values()) {
            spec.models().forEach((name, model) -> weights.put(name, model.weightsMb()));
        }
        demand.weights(weights);
    }

    private void listed(LoadInput.Listed listed) {
        EngineSpec spec = specs.get(listed.facts().service());
        if (spec == null) {
            return;
        }
        Engine engine = engines.get(listed.facts().id());
        if (engine == null) {
            engine = new Engine(spec, listed.facts());
            engines.put(engine.id(), engine);
            engine.zoneDrained(isDrained(engine));
            return;
        }
        engine.listed(listed.facts());
    }

    private void drained(Set<String> zones) {
        drainedZones = Set.copyOf(zones);
        engines.values().forEach(engine -> engine.zoneDrained(isDrained(engine)));
        aheadAt = Instant.MIN;
    }

    private boolean isDrained(Engine engine) {
        return drainedZones.contains(engine.facts().zone());
    }

    private void demanded(LoadInput.Demanded demanded, Instant now) {
        demand.said(demanded, now);
        demandChanged = true;
        demanded.running()
                .forEach(
                        (upstream, counts) ->
                                find(upstream)
                                        .ifPresent(
                                                engine ->
                                                        counts.keySet()
                                                                .forEach(
                                                                        model ->
                                                                                engine.used(
                                                                                        model,
                                                                                        now))));
    }

    private void reported(LoadInput.Reported report, Instant now, List<LoadAction> actions) {
        Engine engine = engines.get(report.upstream());
        if (engine == null) {
            return;
        }
        if (!engine.reported(report)) {
            return;
        }
        engine.busy(report.busy() && engine.pending() == null);
        if (report.busy()) {
            // An order that this planner does not know of: only a later report shows its effect.
            if (engine.pending() == null) {
                engine.doubt();
            }
            return;
        }
        finishIfDone(engine, report.held(), now);
        actions.add(new LoadAction.Tell(engine.id(), engine.held()));
    }

    // An accepted order is finished once the upstream is no longer busy, whether or not it
    // succeeded.
    private void finishIfDone(Engine engine, HeldModels seen, Instant now) {
        Engine.Pending pending = engine.pending();
        if (pending == null || !pending.accepted()) {
            return;
        }
        boolean loading = pending.verb() == Verb.LOAD;
        boolean shows = seen.has(pending.model()) == loading;
        // A report from just before the load began shows neither the model nor that the upstream is
        // busy.
        if (!shows && loading && now.isBefore(pending.dueAt().plus(REPORT_LIMIT))) {
            return;
        }
        if (shows && pending.loadsFromStore()) {
            noteStoreLoad(engine, pending, now);
        }
        engine.over();
        if (shows && loading) {
            engine.loaded(pending.model(), now);
        }
    }

    private void noteStoreLoad(Engine engine, Engine.Pending load, Instant now) {
        Duration alone = engine.spec().models().get(load.model().model()).fromStore();
        storeLoads.look(StoreLoads.running(engines.values()), now);
        storeLoads.ended(load.number(), alone, Duration.between(load.sentAt(), now));
    }

    // An order without an answer may be carried out seconds later. The next order need not wait for
    // that: it names the same number of accepted orders, so the upstream accepts only one of the
    // two.
    private void answered(LoadInput.Answered answer, Instant now, List<LoadAction> actions) {
        if (answer.outcome() == OrderOutcome.UNKNOWN) {
            openLoads
                    .find(answer.upstream(), answer.number())
                    .ifPresent(load -> actions.add(new LoadAction.TellOpen(load)));
        } else {
            openLoads.closed(answer.upstream(), answer.number());
        }
        Engine engine = engines.get(answer.upstream());
        Engine.Pending pending = engine == null ? null : engine.pending();
        if (pending == null || pending.number() != answer.number()) {
            return;
        }
        switch (answer.outcome()) {
            case ACCEPTED -> accepted(engine, now, actions);
            case DONE -> done(engine, now, actions);
            case CONFLICT -> {
                storeLoads.calledOff(pending.number());
                engine.over();
                engine.doubt();
                engine.quiet(now.plus(AFTER_CONFLICT));
            }
            case UNKNOWN -> {
                engine.over();
                engine.doubt();
            }
            default -> {
                engine.over();
                engine.doubt();
                engine.intend(null);
                engine.quiet(now.plus(AFTER_REFUSAL));
            }
        }
    }

    private void accepted(Engine engine, Instant now, List<LoadAction> actions) {
        Engine.Pending pending = engine.pending();
        ModelRef model = pending.model();
        if (pending.verb() == Verb.UNLOAD) {
            engine.accepted(now);
            engine.unloaded(model);
            actions.add(new LoadAction.Tell(engine.id(), engine.held()));
            return;
        }
        if (model.adapted()) {
            engine.accepted(now);
            engine.comes(model, now.plus(engine.adapterTime(model.model())));
            engine.over();
            return;
        }
        Duration time = pending.source().time(engine.spec().models().get(model.model()));
        engine.accepted(now.plus(time));
    }

    private void done(Engine engine, Instant now, List<LoadAction> actions) {
        Engine.Pending pending = engine.pending();
        engine.over();
        if (pending.verb() == Verb.UNLOAD) {
            engine.counted(engine.held().sequence() + 1);
            engine.unloaded(pending.model());
        } else {
            engine.loaded(pending.model(), now);
        }
        actions.add(new LoadAction.Tell(engine.id(), engine.held()));
    }

    private void step(Instant now, List<LoadAction> actions) {
        rounds++;
        demandChanged = false;
        demand.addUp(now);
        openLoads.expire(now);
        storeLoads.look(StoreLoads.running(engines.values()), now);
        for (Engine engine : engines.values()) {
            engine.reserve(openLoads.reserve(engine));
            arrive(engine, now, actions);
            follow(engine, now, actions);
        }
        for (Map.Entry<String, EngineSpec> entry : specs.entrySet()) {
            plan(entry.getKey(), entry.getValue(), now, actions);
        }
        if (!now.isBefore(aheadAt)) {
            aheadAt = now.plus(AHEAD_GAP);
        }
    }

    // Marks adapters as loaded once their load time has passed.
    private static void arrive(Engine engine, Instant now, List<LoadAction> actions) {
        List<ModelRef> here = new ArrayList<>();
        engine.coming()
                .forEach(
                        (adapter, readyAt) -> {
                            if (!now.isBefore(readyAt)) {
                                here.add(adapter);
                            }
                        });
        here.forEach(adapter -> engine.loaded(adapter, now));
        if (!here.isEmpty()) {
            actions.add(new LoadAction.Tell(engine.id(), engine.held()));
        }
    }

    /** Requests the reports that are due and takes the next step of a planned load. */
    private void follow(Engine engine, Instant now, List<LoadAction> actions) {
        Engine.Pending pending = engine.pending();
        if (!engine.known()) {
            Duration gap = engine.answered() ? DOUBT_GAP : REPORT_LIMIT;
            if (engine.mayAsk(now, gap)) {
                ask(engine, now, actions);
            }
            return;
        }
        if (pending != null) {
            boolean due = pending.accepted() && !now.isBefore(pending.dueAt());
            if (due && engine.mayAsk(now, REPORT_GAP)) {
                ask(engine, now, actions);
            }
            if (!pending.accepted() && now.isAfter(pending.sentAt().plus(settings.orderLimit()))) {
                engine.over();
                engine.doubt();
                engine.intend(null);
            }
            return;
        }
        Engine.Intent intent = engine.intent();
        if (intent == null || !engine.free(now)) {
            return;
        }
        if (now.isAfter(intent.until()) || engine.has(intent.model())) {
            engine.intend(null);
            return;
        }
        FleetView fleet = new FleetView(of(engine.facts().service()), demand, now);
        String model = placer.bestUse(engine, intent.model(), fleet);
        if (!model.equals(intent.model())) {
            engine.intend(new Engine.Intent(model, now.plus(INTENT_LIMIT)));
        }
        advance(engine, model, fleet, now, actions);
    }

    private void advance(
            Engine engine, String model, FleetView fleet, Instant now, List<LoadAction> actions) {
        Optional<Room.Plan> plan =
                new Room(demand, fleet, packing(engine))
                        .plan(engine, model, 1 + demand.perSecond(model), now);
        if (plan.isEmpty()) {
            return;
        }
        if (!plan.get().victims().isEmpty()) {
            ModelRef victim = new ModelRef(plan.get().victims().get(0), "");
            order(engine, Verb.UNLOAD, victim, null, now, actions);
            return;
        }
        LoadSource source = engine.source(model);
        if (source == LoadSource.STORE) {
            storeLoads.begun(number + 1, now);
        }
        engine.intend(null);
        order(engine, Verb.LOAD, new ModelRef(model, ""), source, now, actions);
    }

    private Packing packing(Engine engine) {
        return packings.computeIfAbsent(engine.facts().service(), any -> Packing.of(engine.spec()));
    }

    private void plan(String service, EngineSpec spec, Instant now, List<LoadAction> actions) {
        boolean ahead = !now.isBefore(aheadAt);
        List<Engine> here = of(service);
        Packing packing = packings.get(service);
        for (Placer.Choice choice : placer.plan(spec, packing, here, ahead, now)) {
            choice.engine().intend(new Engine.Intent(choice.model(), now.plus(INTENT_LIMIT)));
            advance(
                    choice.engine(),
                    choice.model(),
                    new FleetView(here, demand, now),
                    now,
                    actions);
        }
        for (AdapterPlanner.Step step : adapters.plan(here, now)) {
            order(step.engine(), step.verb(), step.adapter(), null, now, actions);
        }
    }

    private void order(
            Engine engine,
            Verb verb,
            ModelRef model,
            LoadSource source,
            Instant now,
            List<LoadAction> actions) {
        number++;
        long sequence = engine.held().sequence();
        double free = engine.freeMb();
        engine.sent(new Engine.Pending(number, verb, model, source, now, false, now));
        if (verb == Verb.LOAD) {
            openLoads.sent(number, new OpenLoad(engine.id(), engine.life(), sequence, model, now));
        }
        actions.add(new LoadAction.Order(engine.id(), number, verb, model, sequence, free));
    }

    private static void ask(Engine engine, Instant now, List<LoadAction> actions) {
        engine.asked(now);
        actions.add(new LoadAction.AskReport(engine.id()));
    }

    private Optional<Engine> find(UpstreamId id) {
        return Optional.ofNullable(engines.get(id));
    }

    private List<Engine> of(String service) {
        Collection<Engine> all = engines.values();
        return all.stream().filter(each -> each.facts().service().equals(service)).toList();
    }

    /**
     * Explains why models that requests have waited for longer than the given time are not loaded:
     * one line per model with each engine that holds it or has a copy, and the engine's state.
     * Empty if no request has waited that long.
     */
    public List<String> barred(Duration longerThan, Instant now) {
        demand.addUp(now);
        return new WaitReport(demand, engines.values(), storeUse(), now).longerThan(longerThan);
    }
}
