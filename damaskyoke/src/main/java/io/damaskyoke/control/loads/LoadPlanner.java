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
    private final DemandAggregator demand = new DemandAggregator();
    private final Map<UpstreamId, EngineState> engines = new TreeMap<>();
    private final UnansweredLoadOrders openLoads = new UnansweredLoadOrders();
    private final StoreLoadLimiter storeLoads;
    private final ModelPlacer placer;
    private final AdapterPlanner adapters;
    private final Map<String, MemoryFragmentation> packings = new HashMap<>();
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
        this.storeLoads = new StoreLoadLimiter(settings.storeRateWindow());
        this.placer = new ModelPlacer(demand, storeLoads);
        this.adapters = new AdapterPlanner(demand);
    }

    @Override
    public List<LoadAction> on(LoadInput input, Instant now) {
        List<LoadAction> actions = new ArrayList<>();
        applyInput(input, now, actions);
        if (active && startsRound(input, now)) {
            runRound(now, actions);
        }
        return active ? actions : List.of();
    }

    /** Returns the number of planning rounds so far, to measure their cost. */
    public long planningRounds() {
        return rounds;
    }

    /** Returns the models and adapters that requests wait for and that no engine holds. */
    public UnmetDemand unmetDemand(Instant now) {
        demand.aggregate(now);
        int models = 0;
        Duration oldest = Duration.ZERO;
        for (LoadInput.ModelDemand want : demand.waitingInOrder()) {
            if (engines.values().stream().noneMatch(engine -> engine.held().has(want.model()))) {
                models++;
                oldest = want.longestWait().compareTo(oldest) > 0 ? want.longestWait() : oldest;
            }
        }
        return new UnmetDemand(models, oldest);
    }

    /** Returns how much of the weight store's capacity is in use. */
    public StoreUsage storeUsage() {
        return new StoreUsage(
                StoreLoadLimiter.countRunning(engines.values()), storeLoads.fullSpeedLoads());
    }

    private void applyInput(LoadInput input, Instant now, List<LoadAction> actions) {
        if (input instanceof LoadInput.ServicesConfigured configured) {
            configured(configured.engines());
        } else if (input instanceof LoadInput.UpstreamListed listed) {
            upstreamListed(listed);
        } else if (input instanceof LoadInput.UpstreamRemoved gone) {
            engines.remove(gone.upstream());
        } else if (input instanceof LoadInput.DrainedZonesChanged drained) {
            drainedZonesChanged(drained.zones());
        } else if (input instanceof LoadInput.DemandReported demanded) {
            demandReported(demanded, now);
        } else if (input instanceof LoadInput.OrderAnswered answered) {
            orderAnswered(answered, now, actions);
        } else if (input instanceof LoadInput.UpstreamReported reported) {
            upstreamReported(reported, now, actions);
        } else if (input instanceof LoadInput.UnansweredLoadAnnounced unanswered) {
            openLoads.addAnnounced(unanswered.load());
        } else if (input instanceof LoadInput.ReportFailed notReported) {
            find(notReported.upstream()).ifPresent(EngineState::reportFailed);
        } else if (input instanceof LoadInput.Elected) {
            engines.values().forEach(EngineState::reset);
            storeLoads.elected(now);
            active = true;
        } else if (input instanceof LoadInput.Resigned) {
            active = false;
        } else {
            demand.removeExpired(now);
        }
    }

    // List changes, announced orders and reports without waiting requests are planned for at the
    // next tick.
    private boolean startsRound(LoadInput input, Instant now) {
        if (input instanceof LoadInput.UpstreamListed
                || input instanceof LoadInput.UnansweredLoadAnnounced) {
            return false;
        }
        if (input instanceof LoadInput.DemandReported demanded) {
            return demanded.hasWaitingRequests() && roundsForDemand++ < MOST_ROUNDS_FOR_DEMAND;
        }
        if (input instanceof LoadInput.Tick) {
            roundsForDemand = 0;
            return demandChanged
                    || !now.isBefore(aheadAt)
                    || demand.hasWaitingRequests()
                    || hasPendingChanges();
        }
        return true;
    }

    private boolean hasPendingChanges() {
        for (EngineState engine : engines.values()) {
            if (engine.hasPendingChange()) {
                return true;
            }
        }
        return false;
    }

    private void configured(Map<String, EngineSpec> engines) {
        specs = engines;
        packings.clear();
        engines.forEach((service, spec) -> packings.put(service, MemoryFragmentation.of(spec)));
        Map<String, Double> weights = new HashMap<>();
        for (EngineSpec spec : engines.values()) {
            spec.models().forEach((name, model) -> weights.put(name, model.weightsMb()));
        }
        demand.setModelSizes(weights);
    }

    private void upstreamListed(LoadInput.UpstreamListed listed) {
        EngineSpec spec = specs.get(listed.facts().service());
        if (spec == null) {
            return;
        }
        EngineState engine = engines.get(listed.facts().id());
        if (engine == null) {
            engine = new EngineState(spec, listed.facts());
            engines.put(engine.id(), engine);
            engine.setZoneDrained(isDrained(engine));
            return;
        }
        engine.applyFacts(listed.facts());
    }

    private void drainedZonesChanged(Set<String> zones) {
        drainedZones = Set.copyOf(zones);
        engines.values().forEach(engine -> engine.setZoneDrained(isDrained(engine)));
        aheadAt = Instant.MIN;
    }

    private boolean isDrained(EngineState engine) {
        return drainedZones.contains(engine.facts().zone());
    }

    private void demandReported(LoadInput.DemandReported demanded, Instant now) {
        demand.record(demanded, now);
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
                                                                                engine.markUsed(
                                                                                        model,
                                                                                        now))));
    }

    private void upstreamReported(
            LoadInput.UpstreamReported report, Instant now, List<LoadAction> actions) {
        EngineState engine = engines.get(report.upstream());
        if (engine == null) {
            return;
        }
        if (!engine.applyReport(report)) {
            return;
        }
        engine.setBusyWithUnknownOrder(report.busy() && engine.pending() == null);
        if (report.busy()) {
            // An order that this planner does not know of: only a later report shows its effect.
            if (engine.pending() == null) {
                engine.requireReport();
            }
            return;
        }
        finishIfDone(engine, report.held(), now);
        actions.add(new LoadAction.AnnounceHeldModels(engine.id(), engine.held()));
    }

    // An accepted order is finished once the upstream is no longer busy, whether or not it
    // succeeded.
    private void finishIfDone(EngineState engine, HeldModels seen, Instant now) {
        EngineState.PendingOrder pending = engine.pending();
        if (pending == null || !pending.accepted()) {
            return;
        }
        boolean loading = pending.operation() == OrderOperation.LOAD;
        boolean shows = seen.has(pending.model()) == loading;
        // A report from just before the load began shows neither the model nor that the upstream is
        // busy.
        if (!shows && loading && now.isBefore(pending.dueAt().plus(REPORT_LIMIT))) {
            return;
        }
        if (shows && pending.loadsFromStore()) {
            recordStoreLoad(engine, pending, now);
        }
        engine.orderFinished();
        if (shows && loading) {
            engine.loaded(pending.model(), now);
        }
    }

    private void recordStoreLoad(EngineState engine, EngineState.PendingOrder load, Instant now) {
        Duration alone = engine.spec().models().get(load.model().model()).fromStore();
        storeLoads.recordRunning(StoreLoadLimiter.countRunning(engines.values()), now);
        storeLoads.loadFinished(load.number(), alone, Duration.between(load.sentAt(), now));
    }

    // An order without an answer may be carried out seconds later. The next order need not wait for
    // that: it names the same number of accepted orders, so the upstream accepts only one of the
    // two.
    private void orderAnswered(
            LoadInput.OrderAnswered answer, Instant now, List<LoadAction> actions) {
        if (answer.outcome() == OrderOutcome.UNKNOWN) {
            openLoads
                    .find(answer.upstream(), answer.number())
                    .ifPresent(load -> actions.add(new LoadAction.AnnounceUnansweredLoad(load)));
        } else {
            openLoads.removeAnswered(answer.upstream(), answer.number());
        }
        EngineState engine = engines.get(answer.upstream());
        EngineState.PendingOrder pending = engine == null ? null : engine.pending();
        if (pending == null || pending.number() != answer.number()) {
            return;
        }
        switch (answer.outcome()) {
            case ACCEPTED -> orderAccepted(engine, now, actions);
            case DONE -> orderDone(engine, now, actions);
            case CONFLICT -> {
                storeLoads.loadCanceled(pending.number());
                engine.orderFinished();
                engine.requireReport();
                engine.pauseUntil(now.plus(AFTER_CONFLICT));
            }
            case UNKNOWN -> {
                engine.orderFinished();
                engine.requireReport();
            }
            default -> {
                engine.orderFinished();
                engine.requireReport();
                engine.setPlannedLoad(null);
                engine.pauseUntil(now.plus(AFTER_REFUSAL));
            }
        }
    }

    private void orderAccepted(EngineState engine, Instant now, List<LoadAction> actions) {
        EngineState.PendingOrder pending = engine.pending();
        ModelRef model = pending.model();
        if (pending.operation() == OrderOperation.UNLOAD) {
            engine.orderAccepted(now);
            engine.unloaded(model);
            actions.add(new LoadAction.AnnounceHeldModels(engine.id(), engine.held()));
            return;
        }
        if (model.adapted()) {
            engine.orderAccepted(now);
            engine.addLoadingAdapter(model, now.plus(engine.adapterLoadTime(model.model())));
            engine.orderFinished();
            return;
        }
        Duration time = pending.source().loadTime(engine.spec().models().get(model.model()));
        engine.orderAccepted(now.plus(time));
    }

    private void orderDone(EngineState engine, Instant now, List<LoadAction> actions) {
        EngineState.PendingOrder pending = engine.pending();
        engine.orderFinished();
        if (pending.operation() == OrderOperation.UNLOAD) {
            engine.setSequence(engine.held().sequence() + 1);
            engine.unloaded(pending.model());
        } else {
            engine.loaded(pending.model(), now);
        }
        actions.add(new LoadAction.AnnounceHeldModels(engine.id(), engine.held()));
    }

    private void runRound(Instant now, List<LoadAction> actions) {
        rounds++;
        demandChanged = false;
        demand.aggregate(now);
        openLoads.removeExpired(now);
        storeLoads.recordRunning(StoreLoadLimiter.countRunning(engines.values()), now);
        for (EngineState engine : engines.values()) {
            engine.setReservation(openLoads.reservationFor(engine));
            completeAdapterLoads(engine, now, actions);
            followUp(engine, now, actions);
        }
        for (Map.Entry<String, EngineSpec> entry : specs.entrySet()) {
            plan(entry.getKey(), entry.getValue(), now, actions);
        }
        if (!now.isBefore(aheadAt)) {
            aheadAt = now.plus(AHEAD_GAP);
        }
    }

    // Marks adapters as loaded once their load time has passed.
    private static void completeAdapterLoads(
            EngineState engine, Instant now, List<LoadAction> actions) {
        List<ModelRef> here = new ArrayList<>();
        engine.loadingAdapters()
                .forEach(
                        (adapter, readyAt) -> {
                            if (!now.isBefore(readyAt)) {
                                here.add(adapter);
                            }
                        });
        here.forEach(adapter -> engine.loaded(adapter, now));
        if (!here.isEmpty()) {
            actions.add(new LoadAction.AnnounceHeldModels(engine.id(), engine.held()));
        }
    }

    /** Requests the reports that are due and takes the next step of a planned load. */
    private void followUp(EngineState engine, Instant now, List<LoadAction> actions) {
        EngineState.PendingOrder pending = engine.pending();
        if (!engine.isKnown()) {
            Duration gap = engine.hasAnsweredReportRequest() ? DOUBT_GAP : REPORT_LIMIT;
            if (engine.isReportDue(now, gap)) {
                requestReport(engine, now, actions);
            }
            return;
        }
        if (pending != null) {
            boolean due = pending.accepted() && !now.isBefore(pending.dueAt());
            if (due && engine.isReportDue(now, REPORT_GAP)) {
                requestReport(engine, now, actions);
            }
            if (!pending.accepted()
                    && now.isAfter(pending.sentAt().plus(settings.orderTimeout()))) {
                engine.orderFinished();
                engine.requireReport();
                engine.setPlannedLoad(null);
            }
            return;
        }
        EngineState.PlannedLoad intent = engine.plannedLoad();
        if (intent == null || !engine.acceptsOrders(now)) {
            return;
        }
        if (now.isAfter(intent.expiresAt()) || engine.holds(intent.model())) {
            engine.setPlannedLoad(null);
            return;
        }
        FleetView fleet = new FleetView(enginesOf(engine.facts().service()), demand, now);
        String model = placer.bestModelFor(engine, intent.model(), fleet);
        if (!model.equals(intent.model())) {
            engine.setPlannedLoad(new EngineState.PlannedLoad(model, now.plus(INTENT_LIMIT)));
        }
        evictOrLoad(engine, model, fleet, now, actions);
    }

    private void evictOrLoad(
            EngineState engine,
            String model,
            FleetView fleet,
            Instant now,
            List<LoadAction> actions) {
        Optional<EvictionPlanner.Plan> plan =
                new EvictionPlanner(demand, fleet, packing(engine))
                        .plan(engine, model, 1 + demand.arrivalsPerSecond(model), now);
        if (plan.isEmpty()) {
            return;
        }
        if (!plan.get().victims().isEmpty()) {
            ModelRef victim = new ModelRef(plan.get().victims().get(0), "");
            sendOrder(engine, OrderOperation.UNLOAD, victim, null, now, actions);
            return;
        }
        LoadSource source = engine.loadSource(model);
        if (source == LoadSource.STORE) {
            storeLoads.loadStarted(number + 1, now);
        }
        engine.setPlannedLoad(null);
        sendOrder(engine, OrderOperation.LOAD, new ModelRef(model, ""), source, now, actions);
    }

    private MemoryFragmentation packing(EngineState engine) {
        return packings.computeIfAbsent(
                engine.facts().service(), any -> MemoryFragmentation.of(engine.spec()));
    }

    private void plan(String service, EngineSpec spec, Instant now, List<LoadAction> actions) {
        boolean ahead = !now.isBefore(aheadAt);
        List<EngineState> here = enginesOf(service);
        MemoryFragmentation packing = packings.get(service);
        for (ModelPlacer.Placement choice : placer.plan(spec, packing, here, ahead, now)) {
            choice.engine()
                    .setPlannedLoad(
                            new EngineState.PlannedLoad(choice.model(), now.plus(INTENT_LIMIT)));
            evictOrLoad(
                    choice.engine(),
                    choice.model(),
                    new FleetView(here, demand, now),
                    now,
                    actions);
        }
        for (AdapterPlanner.AdapterOrder step : adapters.plan(here, now)) {
            sendOrder(step.engine(), step.operation(), step.adapter(), null, now, actions);
        }
    }

    private void sendOrder(
            EngineState engine,
            OrderOperation verb,
            ModelRef model,
            LoadSource source,
            Instant now,
            List<LoadAction> actions) {
        number++;
        long sequence = engine.held().sequence();
        double free = engine.freeMb();
        engine.orderSent(
                new EngineState.PendingOrder(number, verb, model, source, now, false, now));
        if (verb == OrderOperation.LOAD) {
            openLoads.addSent(
                    number,
                    new UnansweredLoadOrder(
                            engine.id(), engine.incarnation(), sequence, model, now));
        }
        actions.add(new LoadAction.SendOrder(engine.id(), number, verb, model, sequence, free));
    }

    private static void requestReport(EngineState engine, Instant now, List<LoadAction> actions) {
        engine.reportRequested(now);
        actions.add(new LoadAction.RequestReport(engine.id()));
    }

    private Optional<EngineState> find(UpstreamId id) {
        return Optional.ofNullable(engines.get(id));
    }

    private List<EngineState> enginesOf(String service) {
        Collection<EngineState> all = engines.values();
        return all.stream().filter(each -> each.facts().service().equals(service)).toList();
    }

    /**
     * Explains why models that requests have waited for longer than the given time are not loaded:
     * one line per model with each engine that holds it or has a copy, and the engine's state.
     * Empty if no request has waited that long.
     */
    public List<String> explainLongWaits(Duration longerThan, Instant now) {
        demand.aggregate(now);
        return new WaitReport(demand, engines.values(), storeUsage(), now)
                .waitsOfAtLeast(longerThan);
    }
}
