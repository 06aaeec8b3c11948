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
public final class LoadPlanner implements StateMachine<LoadInput, LoadAction> {
    /**
     * Minimum time between report requests to an upstream. Reports lag by about a tenth of a
     * second, so more frequent requests return nothing new.
     */
    private static final Duration MIN_REPORT_INTERVAL = Duration.ofMillis(60);

    /**
     * Time between report requests to an upstream that carries out an unknown order, perhaps for
     * seconds.
     */
    private static final Duration UNKNOWN_ORDER_REPORT_INTERVAL = Duration.ofMillis(150);

    /** Time after which an unanswered report request is repeated. */
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);

    /**
     * Time between searches for models to load ahead of need. Models that requests wait for are
     * planned at once.
     */
    private static final Duration LOAD_AHEAD_INTERVAL = Duration.ofMillis(200);

    /**
     * Limit of planning rounds between two ticks that are started by reports of waiting requests.
     * Each of dozens of routers reports several times a second; a round for each report would keep
     * the leader's VM busy with nothing new.
     */
    private static final int MAX_DEMAND_ROUNDS_PER_TICK = 2;

    private final LoadSettings settings;
    private final DemandAggregator demand = new DemandAggregator();
    private final Map<UpstreamId, EngineState> engines = new TreeMap<>();
    private final UnansweredLoadOrders unansweredOrders = new UnansweredLoadOrders();
    private final ForgottenOrders forgottenOrders = new ForgottenOrders();
    private final StoreLoadLimiter storeLoadLimiter;
    private final ModelPlacer placer;
    private final AdapterPlanner adapters;
    private final OrderAnswers orderAnswers;
    private final ConfiguredServices services = new ConfiguredServices();
    private final OversubscribedServices oversubscribed = new OversubscribedServices();
    private Set<String> drainedZones = Set.of();
    private long lastOrderNumber;
    private boolean active;
    private Instant nextLoadAheadAt = Instant.MIN;
    private int demandRounds;
    private boolean demandChanged;
    private long planningRounds;

    /** Creates a planner without upstreams or demand. */
    public LoadPlanner(LoadSettings settings) {
        this.settings = settings;
        this.storeLoadLimiter = new StoreLoadLimiter(settings.storeRateWindow());
        this.placer = new ModelPlacer(demand, storeLoadLimiter);
        this.adapters = new AdapterPlanner(demand);
        this.orderAnswers = new OrderAnswers(unansweredOrders, storeLoadLimiter);
    }

    @Override
    public List<LoadAction> on(LoadInput input, Instant now) {
        List<LoadAction> actions = new ArrayList<>();
        forgottenOrders.running(now);
        applyInput(input, now, actions);
        if (active && startsRound(input, now)) {
            runRound(now, actions);
        }
        return active ? actions : List.of();
    }

    /** Returns the number of planning rounds so far, to measure their cost. */
    public long planningRounds() {
        return planningRounds;
    }

    /** Returns the models and adapters that requests wait for and that no engine holds. */
    public UnmetDemand unmetDemand(Instant now) {
        demand.aggregate(now);
        int models = 0;
        Duration longestWait = Duration.ZERO;
        for (LoadInput.ModelDemand modelDemand : demand.waitingInOrder()) {
            if (engines.values().stream()
                    .noneMatch(engine -> engine.held().contains(modelDemand.model()))) {
                models++;
                longestWait =
                        modelDemand.longestWait().compareTo(longestWait) > 0
                                ? modelDemand.longestWait()
                                : longestWait;
            }
        }
        return new UnmetDemand(models, longestWait);
    }

    /** Returns how much of the weight store's capacity is in use. */
    public StoreUsage storeUsage() {
        return new StoreUsage(
                StoreLoadLimiter.countRunning(engines.values()), storeLoadLimiter.fullSpeedLoads());
    }

    /**
     * Returns the number of upstreams that are ordered to load nothing, since an order of an
     * earlier leader may still be carried out there.
     */
    public long upstreamsWithForgottenOrders(Instant now) {
        return engines.keySet().stream().filter(id -> forgottenOrders.mayReach(id, now)).count();
    }

    private void applyInput(LoadInput input, Instant now, List<LoadAction> actions) {
        if (input instanceof LoadInput.ServicesConfigured configured) {
            servicesConfigured(configured.engines());
        } else if (input instanceof LoadInput.SizesRecorded recorded) {
            services.recorded(recorded.sizes());
        } else if (input instanceof LoadInput.UpstreamListed listed) {
            upstreamListed(listed, now);
        } else if (input instanceof LoadInput.UpstreamRemoved removed) {
            engines.remove(removed.upstream());
            forgottenOrders.upstreamRemoved(removed.upstream(), now);
            oversubscribed.update(services.specs(), engines.values());
        } else if (input instanceof LoadInput.DrainedZonesChanged zonesChanged) {
            drainedZonesChanged(zonesChanged.zones());
        } else if (input instanceof LoadInput.DemandReported report) {
            demandReported(report, now);
        } else if (input instanceof LoadInput.OrderAnswered answered) {
            orderAnswers.apply(answered, find(answered.upstream()), now, actions);
        } else if (input instanceof LoadInput.UpstreamReported reported) {
            upstreamReported(reported, now, actions);
        } else if (input instanceof LoadInput.UnansweredLoadAnnounced announced) {
            unansweredOrders.addAnnounced(announced.load());
        } else if (input instanceof LoadInput.ReportFailed reportFailed) {
            find(reportFailed.upstream()).ifPresent(EngineState::reportFailed);
        } else if (input instanceof LoadInput.Elected elected) {
            forgottenOrders.elected(elected.mayFollowOthers(), now);
            engines.values().forEach(EngineState::reset);
            storeLoadLimiter.elected(now);
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
        if (input instanceof LoadInput.DemandReported report) {
            return report.hasWaitingRequests() && demandRounds++ < MAX_DEMAND_ROUNDS_PER_TICK;
        }
        if (input instanceof LoadInput.Tick) {
            demandRounds = 0;
            return demandChanged
                    || !now.isBefore(nextLoadAheadAt)
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

    private void servicesConfigured(Map<String, EngineSpec> specs) {
        services.configure(specs);
        engines.values().forEach(EngineState::modelsConfigured);
        demand.setModelSizes(services.modelSizes());
        oversubscribed.update(specs, engines.values());
    }

    /** Returns the largest size that any configuration has stated, by service and model. */
    public Map<String, Map<String, ModelSize>> largestSizes() {
        return services.largestSizes();
    }

    private void upstreamListed(LoadInput.UpstreamListed listed, Instant now) {
        Optional<KnownModels> models = services.modelsOf(listed.facts().service());
        if (models.isEmpty()) {
            return;
        }
        forgottenOrders.upstreamSeen(listed.facts().id(), listed.facts().held().startedAt(), now);
        EngineState engine = engines.get(listed.facts().id());
        if (engine == null || !engine.facts().service().equals(listed.facts().service())) {
            engine = new EngineState(models.get(), listed.facts());
            engines.put(engine.id(), engine);
            engine.setZoneDrained(isDrained(engine));
            oversubscribed.update(services.specs(), engines.values());
            return;
        }
        engine.applyFacts(listed.facts());
    }

    private void drainedZonesChanged(Set<String> zones) {
        drainedZones = Set.copyOf(zones);
        engines.values().forEach(engine -> engine.setZoneDrained(isDrained(engine)));
        nextLoadAheadAt = Instant.MIN;
    }

    private boolean isDrained(EngineState engine) {
        return drainedZones.contains(engine.facts().zone());
    }

    private void demandReported(LoadInput.DemandReported report, Instant now) {
        demand.recordReport(report, now);
        demandChanged = true;
        report.running()
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
        forgottenOrders.upstreamSeen(report.upstream(), report.held().startedAt(), now);
        boolean assumed = engine.hasAssumedLoad();
        if (!engine.applyReport(report, now)) {
            return;
        }
        if (assumed && engine.pending() != null && engine.pending().accepted()) {
            actions.add(new LoadAction.AnnounceHeldModels(engine.id(), engine.held()));
        }
        boolean unknownOrder =
                report.busy() && engine.pending() == null && !engine.hasAssumedLoad();
        engine.setBusyWithUnknownOrder(unknownOrder);
        if (report.busy()) {
            // An order that this planner does not know of: only a later report shows its effect.
            if (unknownOrder) {
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
        PendingOrder pending = engine.pending();
        if (pending == null || !pending.accepted()) {
            return;
        }
        boolean loading = pending.operation() == OrderOperation.LOAD;
        boolean isVisible = seen.contains(pending.model()) == loading;
        // A report from just before the load began shows neither the model nor that the upstream is
        // busy.
        if (!isVisible && loading && now.isBefore(pending.dueAt().plus(REPORT_TIMEOUT))) {
            return;
        }
        if (isVisible && pending.loadsFromStore()) {
            recordStoreLoad(engine, pending, now);
        }
        engine.orderFinished();
        if (isVisible && loading) {
            engine.loaded(pending.model(), now);
        }
    }

    private void recordStoreLoad(EngineState engine, PendingOrder load, Instant now) {
        Duration undisturbed = engine.loadTime(load.model().model(), LoadSource.STORE);
        storeLoadLimiter.recordRunning(StoreLoadLimiter.countRunning(engines.values()), now);
        storeLoadLimiter.loadFinished(
                load.number(), undisturbed, Duration.between(load.sentAt(), now));
    }

    private void runRound(Instant now, List<LoadAction> actions) {
        planningRounds++;
        demandChanged = false;
        demand.aggregate(now);
        unansweredOrders.removeExpired(now);
        storeLoadLimiter.recordRunning(StoreLoadLimiter.countRunning(engines.values()), now);
        for (EngineState engine : engines.values()) {
            engine.setReservations(unansweredOrders);
            if (forgottenOrders.mayReach(engine.id(), now)) {
                engine.reserveAll();
            }
            if (engine.completeAdapterLoads(now)) {
                actions.add(new LoadAction.AnnounceHeldModels(engine.id(), engine.held()));
            }
            completeModelLoad(engine, now, actions);
            followUp(engine, now, actions);
        }
        for (Map.Entry<String, EngineSpec> entry : services.specs().entrySet()) {
            plan(entry.getKey(), entry.getValue(), now, actions);
        }
        if (!now.isBefore(nextLoadAheadAt)) {
            nextLoadAheadAt = now.plus(LOAD_AHEAD_INTERVAL);
        }
    }

    // Waiting for a report would leave the upstream idle for as long as reports lag.
    private void completeModelLoad(EngineState engine, Instant now, List<LoadAction> actions) {
        if (oversubscribed.contains(engine.facts().service())
                && engine.isKnown()
                && engine.isLoadTimeOver(now)) {
            engine.assumeLoaded(now);
            actions.add(new LoadAction.AnnounceHeldModels(engine.id(), engine.held()));
        }
    }

    /** Requests the reports that are due and takes the next step of a planned load. */
    private void followUp(EngineState engine, Instant now, List<LoadAction> actions) {
        PendingOrder pending = engine.pending();
        if (engine.isContradictedByEntry(now)) {
            engine.requireReport();
        }
        if (!engine.isKnown()) {
            requestMissingReport(engine, now, actions);
            return;
        }
        if (pending != null) {
            followUpOrder(engine, pending, now, actions);
            return;
        }
        if (engine.isAssumedLoadToBeChecked(now) && engine.isReportDue(now, MIN_REPORT_INTERVAL)) {
            requestReport(engine, now, actions);
        }
        EngineState.PlannedLoad plannedLoad = engine.plannedLoad();
        if (plannedLoad == null || !engine.acceptsOrders(now)) {
            return;
        }
        if (now.isAfter(plannedLoad.expiresAt()) || engine.holds(plannedLoad.model())) {
            engine.setPlannedLoad(null);
            return;
        }
        FleetView fleet = new FleetView(enginesOf(engine.facts().service()), demand, now);
        String model = placer.bestModelFor(engine, plannedLoad.model(), fleet);
        if (!model.equals(plannedLoad.model())) {
            engine.setPlannedLoad(EngineState.PlannedLoad.from(model, now));
        }
        evictOrLoad(engine, model, fleet, now, actions);
    }

    private void followUpOrder(
            EngineState engine, PendingOrder pending, Instant now, List<LoadAction> actions) {
        boolean due = pending.accepted() && !now.isBefore(pending.dueAt());
        if (due && engine.isReportDue(now, MIN_REPORT_INTERVAL)) {
            requestReport(engine, now, actions);
        }
        boolean unanswered =
                !pending.accepted() && now.isAfter(pending.sentAt().plus(settings.orderTimeout()));
        if (unanswered || engine.isOrderUnreported(now)) {
            engine.orderFinished();
            engine.requireReport();
            engine.setPlannedLoad(null);
        }
    }

    private static void requestMissingReport(
            EngineState engine, Instant now, List<LoadAction> actions) {
        boolean answers = engine.hasAnsweredReportRequest();
        if (engine.isReportDue(now, answers ? UNKNOWN_ORDER_REPORT_INTERVAL : REPORT_TIMEOUT)) {
            requestReport(engine, now, actions);
        }
    }

    private void evictOrLoad(
            EngineState engine,
            String model,
            FleetView fleet,
            Instant now,
            List<LoadAction> actions) {
        Optional<EvictionPlanner.Plan> plan =
                new EvictionPlanner(demand, fleet, services.fragmentation(engine))
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
            storeLoadLimiter.loadStarted(lastOrderNumber + 1, now);
        }
        engine.setPlannedLoad(null);
        sendOrder(engine, OrderOperation.LOAD, new ModelRef(model, ""), source, now, actions);
    }

    private void plan(String service, EngineSpec spec, Instant now, List<LoadAction> actions) {
        boolean ahead = !now.isBefore(nextLoadAheadAt);
        List<EngineState> serviceEngines = enginesOf(service);
        MemoryFragmentation fragmentation = services.fragmentation(service);
        for (ModelPlacer.Placement placement :
                placer.plan(
                        spec,
                        fragmentation,
                        serviceEngines,
                        oversubscribed.contains(service),
                        ahead,
                        now)) {
            placement.engine().setPlannedLoad(EngineState.PlannedLoad.from(placement.model(), now));
            evictOrLoad(
                    placement.engine(),
                    placement.model(),
                    new FleetView(serviceEngines, demand, now),
                    now,
                    actions);
        }
        for (AdapterPlanner.AdapterOrder adapterOrder : adapters.plan(serviceEngines, now)) {
            sendOrder(
                    adapterOrder.engine(),
                    adapterOrder.operation(),
                    adapterOrder.adapter(),
                    null,
                    now,
                    actions);
        }
    }

    private void sendOrder(
            EngineState engine,
            OrderOperation operation,
            ModelRef model,
            LoadSource source,
            Instant now,
            List<LoadAction> actions) {
        lastOrderNumber++;
        long sequence = engine.held().sequence();
        double freeMb = engine.freeMb();
        engine.orderSent(
                new PendingOrder(lastOrderNumber, operation, model, source, now, false, now));
        if (operation == OrderOperation.LOAD) {
            unansweredOrders.addSent(
                    lastOrderNumber,
                    new UnansweredLoadOrder(
                            engine.id(), engine.incarnation(), sequence, model, now));
        }
        actions.add(
                new LoadAction.SendOrder(
                        engine.id(), lastOrderNumber, operation, model, sequence, freeMb));
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
     * Explains why models that requests have waited for at least the given time are not loaded: one
     * line per model with each engine that holds it or has a copy, and the engine's state. Empty if
     * no request has waited that long.
     */
    public List<String> explainLongWaits(Duration minWait, Instant now) {
        demand.aggregate(now);
        return new WaitReport(demand, engines.values(), storeUsage(), now).waitsOfAtLeast(minWait);
    }
}
