package io.damaskyoke.control.loads;

import io.damaskyoke.control.StateMachine;
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
 * <p>The pattern: many rarely used models, more than memory holds, each asked for every few
 * seconds, and a few busy ones that change. The first load of a model at an upstream takes seconds
 * from the weight store; each later one a fraction of a second from the upstream's own memory or
 * disk. So every model is brought to one upstream as early as the weight store allows, and from
 * then on takes turns there with others, at once when a request waits for it. Load times and sizes
 * are those of the configuration.
 *
 * <p>One order at a time is under way at an upstream, each with the number of orders it must have
 * accepted before; so an order that was delayed finds another number and is not carried out, and
 * memory never holds more than was counted.
 */
public final class LoadPlanner implements StateMachine<LoadInput, LoadAction> {
    /** Reports lag by about a tenth of a second; asking more often tells nothing new. */
    private static final Duration REPORT_GAP = Duration.ofMillis(60);

    /** An upstream that carries out an unknown order, perhaps for seconds, is asked this often. */
    private static final Duration DOUBT_GAP = Duration.ofMillis(150);

    /** A report that isn't answered is asked for again after this. */
    private static final Duration REPORT_LIMIT = Duration.ofSeconds(1);

    /** After a conflict, the order under way there is given this time. */
    private static final Duration AFTER_CONFLICT = Duration.ofMillis(80);

    /** An upstream that refused an order is left alone for this. */
    private static final Duration AFTER_REFUSAL = Duration.ofMillis(500);

    /** What is loaded ahead of need is looked for this often; what is waited for, at once. */
    private static final Duration AHEAD_GAP = Duration.ofMillis(200);

    /**
     * Requests that routers say are waiting are planned for at once, so many times between two
     * ticks. Each of dozens of routers reports several times a second; a round of planning for each
     * report would keep the leader's VM busy with nothing new.
     */
    private static final int MOST_ROUNDS_FOR_DEMAND = 2;

    /** An intent whose way is barred this long is given up. */
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

    /** A planner that knows nothing yet. */
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

    /** How many rounds of planning there were, for a measurement of what they cost. */
    public long rounds() {
        return rounds;
    }

    /** What requests wait for and no engine holds. */
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

    /** How much of the weight store is in use. */
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

    // What is listed and who reports without requests that wait can wait for the next tick.
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
            // An order that we don't know of: what it brings shows in a later report only.
            if (engine.pending() == null) {
                engine.doubt();
            }
            return;
        }
        finishIfDone(engine, report.held(), now);
        actions.add(new LoadAction.Tell(engine.id(), engine.held()));
    }

    // An order that was accepted is over once the upstream is no longer busy, whatever came of it.
    private void finishIfDone(Engine engine, HeldModels seen, Instant now) {
        Engine.Pending pending = engine.pending();
        if (pending == null || !pending.accepted()) {
            return;
        }
        boolean loading = pending.verb() == Verb.LOAD;
        boolean shows = seen.has(pending.model()) == loading;
        // A report from just before the load began shows neither the model nor that it is busy.
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

    // An order without an answer may be carried out seconds later. The next one need not wait for
    // that: it names the same number of accepted orders, and so the upstream accepts one of them.
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

    // Adapters that were on their way are there once their time is over.
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

    /** Asks for reports that are due, and takes the next step towards what is intended. */
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
     * Why models that requests have waited for so long are still not placed: each engine that has a
     * copy, and what bars it. Empty if nothing waits.
     */
    public List<String> barred(Duration longerThan, Instant now) {
        demand.addUp(now);
        return new WaitReport(demand, engines.values(), storeUse(), now).longerThan(longerThan);
    }
}
