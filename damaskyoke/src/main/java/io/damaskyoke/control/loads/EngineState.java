package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The planner's view of one upstream of a model service: the models that it holds, the order that
 * it carries out, and the memory that this leaves. Whatever may be in memory counts as held.
 */
final class EngineState {
    /**
     * Added to the configured time of a load from disk or main memory, so that a request does not
     * arrive before the model is ready.
     */
    private static final Duration LOAD_TIME_MARGIN = Duration.ofMillis(30);

    /** Greatest age of a report at its arrival. */
    private static final Duration REPORT_LAG = Duration.ofMillis(300);

    /**
     * How long an order that should be finished stays pending without a usable report. An upstream
     * that has ended is off the list by then.
     */
    private static final Duration MAX_REPORT_SILENCE = Duration.ofSeconds(5);

    /** A heartbeat and the list's delay: how late an entry may name the models that are held. */
    private static final Duration MAX_ENTRY_DELAY = Duration.ofSeconds(3);

    private final KnownModels models;
    private final LoadedSizes loadedSizes;

    private final Map<ModelRef, Instant> lastUsedAt = new HashMap<>();
    private final Map<ModelRef, Instant> loadingAdapters = new TreeMap<>();
    private final Map<String, Instant> loadedAt = new HashMap<>();
    private final ModelCopies copies = new ModelCopies();
    private UpstreamFacts facts;
    private long incarnation;
    private HeldModels held;
    private PendingOrder pending;

    /** An accepted load that no report has shown yet, but whose expected time has passed. */
    private PendingOrder assumedLoaded;

    /** The sequence that was known when the pending order was sent. */
    private long orderSequence = HeldModels.UNKNOWN_SEQUENCE;

    /** The sequence after the last accepted order; reports with a lower one are older. */
    private long confirmedSequence = HeldModels.UNKNOWN_SEQUENCE;

    /** Whether the pending load was assumed to be finished before, and a report disproved it. */
    private boolean needsReportToFinish;

    private PlannedLoad plannedLoad;
    private boolean zoneDrained;
    private boolean known;
    private boolean lastReportAnswered;
    private boolean busyWithUnknownOrder;
    private boolean reported;
    private Instant pausedUntil = Instant.MIN;
    private Instant reportRequestedAt = Instant.MIN;
    private Instant usableReportAt = Instant.MIN;
    private Instant entryAgreedAt = Instant.MIN;
    private UnansweredLoadOrders.Reservation reservation = UnansweredLoadOrders.Reservation.NONE;
    private UnansweredLoadOrders.Reservation reservationAfterRestart =
            UnansweredLoadOrders.Reservation.NONE;

    /**
     * A model that is to be loaded on this engine once there is room. Until then no other model is
     * loaded here.
     */
    record PlannedLoad(String model, Instant expiresAt) {
        /** Time after which a planned load that could not start is given up. */
        private static final Duration LIFETIME = Duration.ofSeconds(3);

        static PlannedLoad from(String model, Instant now) {
            return new PlannedLoad(model, now.plus(LIFETIME));
        }
    }

    EngineState(KnownModels models, UpstreamFacts facts) {
        this.models = models;
        this.loadedSizes = new LoadedSizes(models);
        this.facts = facts;
        this.incarnation = facts.held().startedAt();
        this.held = facts.held();
        copies.update(facts.inMemory(), facts.onDisk());
    }

    UpstreamId id() {
        return facts.id();
    }

    UpstreamFacts facts() {
        return facts;
    }

    /** Returns what the newest configuration says of the engine's service. */
    EngineSpec spec() {
        return models.newest();
    }

    /** Takes in that the models of the service may have other sizes from now on. */
    void modelsConfigured() {
        loadedSizes.configured(this::isSurelyLoaded);
    }

    private boolean isSurelyLoaded(String model) {
        boolean isOrdered = pending != null && pending.model().isModel(model);
        boolean isAssumed = assumedLoaded != null && assumedLoaded.model().isModel(model);
        return holds(model) && !isOrdered && !isAssumed;
    }

    HeldModels held() {
        return held;
    }

    /** Returns the start of the incarnation that is known, in Unix milliseconds. */
    long incarnation() {
        return incarnation;
    }

    /** Reserves memory and adapter slots for orders that may still be carried out. */
    void setReservations(UnansweredLoadOrders unanswered) {
        reservation = unanswered.reservationFor(this);
        reservationAfterRestart = unanswered.reservationAfterRestart(this);
    }

    /** Reserves all memory and adapter slots, as an order of any size may still be carried out. */
    void reserveAll() {
        reservation =
                new UnansweredLoadOrders.Reservation(spec().weightsMb(), spec().adapterSlots());
    }

    /**
     * Returns true if an order to load the model, carried out late, would fit after a restart
     * beside all orders that may be carried out then.
     */
    boolean wouldFitAfterRestart(ModelRef model) {
        int slots = model.hasAdapter() ? 1 : 0;
        return sizeMb(model) + reservationAfterRestart.megabytes() <= spec().weightsMb()
                && slots + reservationAfterRestart.adapterSlots() <= spec().adapterSlots();
    }

    PendingOrder pending() {
        return pending;
    }

    /** Records whether the engine carries out an order of which nothing else is known. */
    void setBusyWithUnknownOrder(boolean unknown) {
        busyWithUnknownOrder = unknown;
    }

    /**
     * Returns true if the engine loads a model from the weight store or is about to, as far as is
     * known.
     */
    boolean mayLoadFromStore() {
        boolean loads = pending == null ? busyWithUnknownOrder : pending.loadsFromStore();
        return loads || plannedLoad != null && loadSource(plannedLoad.model()) == LoadSource.STORE;
    }

    PlannedLoad plannedLoad() {
        return plannedLoad;
    }

    /**
     * Returns true if what the engine holds is known from a report received since this router
     * became leader.
     */
    boolean isKnown() {
        return known;
    }

    /** Requires a new report of what the engine holds before it gets another order. */
    void requireReport() {
        known = false;
    }

    /**
     * Returns true if the entry has named other models than the known ones for longer than it may
     * be late. What is held may have changed without an order of this planner.
     */
    boolean isContradictedByEntry(Instant now) {
        boolean differs =
                !facts.held().adapters().keySet().equals(held.adapters().keySet())
                        && pending == null
                        && assumedLoaded == null;
        if (!differs || !known) {
            entryAgreedAt = now;
        }
        return entryAgreedAt.plus(MAX_ENTRY_DELAY).isBefore(now);
    }

    /** Returns true if any report has been received since this router became leader. */
    boolean hasReported() {
        return reported;
    }

    /** Returns true if the last requested report has been received. */
    boolean hasAnsweredReportRequest() {
        return lastReportAnswered;
    }

    /** Records that the engine did not answer a request for a report. */
    void reportFailed() {
        lastReportAnswered = false;
    }

    /** Forgets orders and reports, after a restart of the engine or a change of leader. */
    void reset() {
        known = false;
        busyWithUnknownOrder = false;
        reported = false;
        pending = null;
        assumedLoaded = null;
        plannedLoad = null;
        reportRequestedAt = Instant.MIN;
        loadedSizes.clear();
    }

    /** Returns how long the current order will still take, or zero if that is not known. */
    Duration remainingOrderTime(Instant now) {
        return pending == null || !pending.dueAt().isAfter(now)
                ? Duration.ZERO
                : Duration.between(now, pending.dueAt());
    }

    /**
     * Returns true if the engine's state is about to change: a report, an order, a planned load or
     * an adapter load is pending.
     */
    boolean hasPendingChange() {
        return !known || pending != null || plannedLoad != null || !loadingAdapters.isEmpty();
    }

    /** Returns true if the engine can take an order now. */
    boolean acceptsOrders(Instant now) {
        return known && pending == null && !now.isBefore(pausedUntil) && !isLeaving();
    }

    /** Records whether operators drain the engine's availability zone. */
    void setZoneDrained(boolean given) {
        zoneDrained = given;
        if (given) {
            plannedLoad = null;
        }
    }

    /**
     * Returns true if the engine is about to stop receiving requests, so that models that only it
     * holds must be loaded elsewhere.
     */
    boolean isLeaving() {
        return facts.draining() || zoneDrained;
    }

    /** Sends the engine no order before the given time. */
    void pauseUntil(Instant until) {
        pausedUntil = until;
    }

    /**
     * Returns true if a report may be requested: none was requested yet, or the last request is at
     * least {@code interval} old.
     */
    boolean isReportDue(Instant now, Duration interval) {
        return reportRequestedAt.equals(Instant.MIN)
                || !now.isBefore(reportRequestedAt.plus(interval));
    }

    void reportRequested(Instant now) {
        reportRequestedAt = now;
        lastReportAnswered = false;
    }

    /**
     * Applies what the list of upstreams says. Only reports count orders, so what a report said of
     * the held models takes precedence within an incarnation.
     */
    void applyFacts(UpstreamFacts given) {
        facts = given;
        copies.update(given.inMemory(), given.onDisk());
        if (isNewIncarnation(given.held().startedAt())) {
            restarted(given.held());
        }
    }

    // Not every source states the start time.
    private boolean isNewIncarnation(long startedAt) {
        return startedAt != HeldModels.UNKNOWN_START && startedAt != incarnation;
    }

    // Discards what was known of the previous incarnation.
    private void restarted(HeldModels now) {
        incarnation = now.startedAt();
        reset();
        loadingAdapters.clear();
        loadedAt.clear();
        confirmedSequence = HeldModels.UNKNOWN_SEQUENCE;
        held = now;
    }

    /** Applies a report. Returns false if the report is older than what is known. */
    boolean applyReport(LoadInput.UpstreamReported report, Instant now) {
        lastReportAnswered = true;
        reported = true;
        if (isNewIncarnation(report.held().startedAt())) {
            restarted(report.held());
        }
        copies.update(report.inMemory(), report.onDisk());
        if (isOutdated(report.held())) {
            return false;
        }
        known = true;
        usableReportAt = now;
        HeldModels reportedModels = report.held();
        boolean isNewer = reportedModels.sequence() > held.sequence();
        held = new HeldModels(incarnation, reportedModels.sequence(), reportedModels.adapters());
        loadingAdapters.keySet().removeIf(held::contains);
        if (assumedLoaded != null) {
            checkAssumedLoad(report.busy(), isNewer, now);
        }
        return true;
    }

    // An accepted order fixes the count, so a report with a lower one was made before it, even if
    // the held models have to be reported anew.
    private boolean isOutdated(HeldModels reportedModels) {
        long least = known ? held.sequence() : confirmedSequence;
        boolean statesStart = reportedModels.startedAt() != HeldModels.UNKNOWN_START;
        return (known || statesStart) && reportedModels.sequence() < least;
    }

    // An upstream that has accepted a later order was not busy any more. A report with the same
    // count may have been made while the load was carried out.
    private void checkAssumedLoad(boolean busy, boolean isNewer, Instant now) {
        boolean isVisible = held.contains(assumedLoaded.model());
        if (isNewer || isVisible && !busy) {
            assumedLoaded = null;
        } else if (!isVisible && isReportConclusive(now) && pending == null) {
            withdrawAssumedLoad();
        } else {
            held = held.with(assumedLoaded.model(), held.sequence());
        }
    }

    private boolean isReportConclusive(Instant now) {
        return !now.isBefore(assumedLoaded.dueAt().plus(REPORT_LAG));
    }

    /**
     * Takes the accepted load as finished without a report that shows the model. A later report or
     * a conflict may show that the load is still carried out.
     */
    void assumeLoaded(Instant now) {
        assumedLoaded = pending;
        pending = null;
        loaded(assumedLoaded.model(), now);
    }

    /** Records that the upstream was not busy, so that the load is really finished. */
    void confirmAssumedLoad() {
        assumedLoaded = null;
    }

    /** Returns true if the last accepted load is taken to be finished without a report. */
    boolean hasAssumedLoad() {
        return assumedLoaded != null;
    }

    /** Returns true if a report would now show whether the assumption is right. */
    boolean isAssumedLoadToBeChecked(Instant now) {
        return assumedLoaded != null && isReportConclusive(now);
    }

    /**
     * Takes the load that was assumed to be finished as one that is still carried out, and that
     * only a report finishes.
     */
    void withdrawAssumedLoad() {
        pending = assumedLoaded;
        assumedLoaded = null;
        needsReportToFinish = true;
        held = held.without(pending.model(), held.sequence());
    }

    /**
     * Returns true if the pending order is a load from the upstream's disk or main memory whose
     * configured time has passed, unless the load has already been found to take longer.
     */
    boolean isLoadTimeOver(Instant now) {
        return pending != null
                && pending.accepted()
                && pending.operation() == OrderOperation.LOAD
                && pending.source() != LoadSource.STORE
                && !needsReportToFinish
                && !now.isBefore(pending.dueAt().plus(LOAD_TIME_MARGIN));
    }

    /**
     * Returns true if the pending order should have been finished long ago, and no usable report
     * has come for as long.
     */
    boolean isOrderUnreported(Instant now) {
        return pending != null
                && pending.accepted()
                && now.isAfter(pending.dueAt().plus(MAX_REPORT_SILENCE))
                && now.isAfter(usableReportAt.plus(MAX_REPORT_SILENCE));
    }

    void orderSent(PendingOrder order) {
        pending = order;
        if (order.operation() == OrderOperation.LOAD && !order.model().hasAdapter()) {
            loadedSizes.ordered(order.model().model());
        }
        orderSequence = held.sequence();
        needsReportToFinish = false;
    }

    /** Sets the model to load next, or null for none. */
    void setPlannedLoad(PlannedLoad given) {
        plannedLoad = given;
    }

    void orderFinished() {
        pending = null;
    }

    /** Records that the engine has accepted the pending order, which increases its order count. */
    void orderAccepted(Instant due) {
        pending = pending.asAccepted(due);
        assumedLoaded = null;
        confirmedSequence = orderSequence + 1;
        // A report that was made after the order may have arrived before the answer.
        long sequence = Math.max(held.sequence(), confirmedSequence);
        held = new HeldModels(held.startedAt(), sequence, held.adapters());
    }

    /** Records that the engine already holds the model, which some other order has loaded. */
    void foundLoaded(ModelRef model, Instant now) {
        if (!model.hasAdapter()) {
            loadedSizes.forget(model.model());
        }
        loaded(model, now);
    }

    void unloaded(ModelRef model) {
        held = held.without(model, held.sequence());
        if (!model.hasAdapter()) {
            loadedSizes.forget(model.model());
            loadingAdapters.keySet().removeIf(each -> each.model().equals(model.model()));
        }
    }

    void loaded(ModelRef model, Instant now) {
        held = held.with(model, held.sequence());
        loadingAdapters.remove(model);
        lastUsedAt.put(model, now);
        if (!model.hasAdapter()) {
            loadedAt.put(model.model(), now);
            copies.add(model.model());
        }
    }

    /** Sets the number of orders that the engine has accepted. */
    void setSequence(long sequence) {
        held = new HeldModels(held.startedAt(), sequence, held.adapters());
    }

    /** Records that the adapter is being loaded and expected to be ready at the given time. */
    void addLoadingAdapter(ModelRef adapter, Instant readyAt) {
        loadingAdapters.put(adapter, readyAt);
    }

    /** Marks adapters as loaded whose load time has passed; returns true if there are any. */
    boolean completeAdapterLoads(Instant now) {
        List<ModelRef> ready = new ArrayList<>();
        loadingAdapters.forEach(
                (adapter, readyAt) -> {
                    if (!now.isBefore(readyAt)) {
                        ready.add(adapter);
                    }
                });
        ready.forEach(adapter -> loaded(adapter, now));
        return !ready.isEmpty();
    }

    Map<ModelRef, Instant> loadingAdapters() {
        return loadingAdapters;
    }

    void markUsed(ModelRef model, Instant now) {
        lastUsedAt.put(model, now);
    }

    Instant lastUsedAt(ModelRef model) {
        return lastUsedAt.getOrDefault(model, Instant.MIN);
    }

    /**
     * Returns true if the model was loaded less than {@code period} ago, so that the requests that
     * waited for it may not have arrived yet.
     */
    boolean wasLoadedWithin(String model, Instant now, Duration period) {
        Instant at = loadedAt.get(model);
        return at != null && now.isBefore(at.plus(period));
    }

    boolean holds(String model) {
        return held.adapters().containsKey(model);
    }

    boolean hasCopy(String model) {
        return copies.has(model);
    }

    /** Returns the models that the engine can load without the weight store. */
    Set<String> modelsWithCopy() {
        return copies.all();
    }

    LoadSource loadSource(String model) {
        return copies.source(model);
    }

    /** Returns the free memory, in MB, counting everything that may be in memory. */
    double freeMb() {
        double used = 0;
        for (Map.Entry<String, Set<String>> entry : held.adapters().entrySet()) {
            used += heldMb(entry.getKey()) + entry.getValue().size() * adapterMb(entry.getKey());
        }
        for (ModelRef adapter : loadingAdapters.keySet()) {
            used += adapterMb(adapter.model());
        }
        if (pending != null
                && pending.operation() == OrderOperation.LOAD
                && !held.contains(pending.model())) {
            ModelRef loading = pending.model();
            used += loading.hasAdapter() ? adapterMb(loading.model()) : heldMb(loading.model());
        }
        return spec().weightsMb() - used - reservation.megabytes();
    }

    /** Returns the adapters that are loaded, being loaded, or may still be loaded. */
    int adapterCount() {
        return held.adapterCount() + loadingAdapters.size() + reservation.adapterSlots();
    }

    /** Returns the memory that the model or adapter takes if it is loaded next, in MB. */
    double sizeMb(ModelRef model) {
        return model.hasAdapter() ? adapterMb(model.model()) : modelMb(model.model());
    }

    /** Returns the most memory that the model or adapter may take, whenever it is loaded, in MB. */
    double largestMb(ModelRef model) {
        return model.hasAdapter() ? adapterMb(model.model()) : models.largestMb(model.model());
    }

    /** Returns the size at which the model is loaded next, in MB. */
    double modelMb(String model) {
        return models.nextMb(model);
    }

    /** Returns the size of a model that is held or on its way, in MB. */
    double heldMb(String model) {
        return loadedSizes.megabytes(model);
    }

    double adapterMb(String model) {
        return models.largestAdapterMb(model);
    }

    /** Returns the time that the load takes; zero if no configuration has named the model. */
    Duration loadTime(String model, LoadSource source) {
        ModelSpec stated = models.lastStated(model);
        return stated == null ? Duration.ZERO : source.loadTime(stated);
    }

    /** Returns the expected time to load an adapter of the model, with a margin. */
    Duration adapterLoadTime(String model) {
        return models.adapterLoadTime(model);
    }
}
