package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The planner's view of one upstream of a model service: the models that it holds, the order that
 * it carries out, and the memory that this leaves. Whatever may be in memory counts as held.
 */
final class EngineState {
    /** Time to load an adapter from the store: 5 ms for the smallest, 9.7 ms for the largest. */
    private static final double ADAPTER_BASE_MILLIS = 4;

    private static final double ADAPTER_MILLIS_PER_MB = 0.09;

    /**
     * Added to the expected load time of an adapter, so that a request does not arrive before the
     * adapter is ready.
     */
    private static final double ADAPTER_MARGIN_MILLIS = 5;

    private final EngineSpec spec;
    private final Map<ModelRef, Instant> usedAt = new HashMap<>();
    private final Map<ModelRef, Instant> coming = new TreeMap<>();
    private final Map<String, Instant> loadedAt = new HashMap<>();
    private final Set<String> inMemory = new HashSet<>();
    private final Set<String> onDisk = new HashSet<>();
    private UpstreamFacts facts;
    private long life;
    private HeldModels held;
    private PendingOrder pending;
    private PlannedLoad intent;
    private boolean zoneDrained;
    private boolean known;
    private boolean answered;
    private boolean busyUnknown;
    private boolean reported;
    private Instant quietUntil = Instant.MIN;
    private Instant askedAt = Instant.MIN;
    private UnansweredLoadOrders.Reservation reserve = UnansweredLoadOrders.Reservation.NONE;

    /** An order that was sent and is not finished. */
    record PendingOrder(
            long number,
            OrderOperation operation,
            ModelRef model,
            LoadSource source,
            Instant sentAt,
            boolean accepted,
            Instant dueAt) {
        boolean loadsFromStore() {
            return operation == OrderOperation.LOAD
                    && source == LoadSource.STORE
                    && !model.adapted();
        }

        PendingOrder asAccepted(Instant due) {
            return new PendingOrder(number, operation, model, source, sentAt, true, due);
        }
    }

    /**
     * A model that is to be loaded on this engine once there is room. Until then no other model is
     * loaded here.
     */
    record PlannedLoad(String model, Instant expiresAt) {}

    EngineState(EngineSpec spec, UpstreamFacts facts) {
        this.spec = spec;
        this.facts = facts;
        this.life = facts.held().startedAt();
        this.held = facts.held();
        updateCopies(facts.inMemory(), facts.onDisk());
    }

    UpstreamId id() {
        return facts.id();
    }

    UpstreamFacts facts() {
        return facts;
    }

    EngineSpec spec() {
        return spec;
    }

    HeldModels held() {
        return held;
    }

    /** Returns the start of the incarnation that is known, in Unix milliseconds. */
    long incarnation() {
        return life;
    }

    /** Reserves memory and adapter slots for orders that may still be carried out. */
    void setReservation(UnansweredLoadOrders.Reservation given) {
        reserve = given;
    }

    PendingOrder pending() {
        return pending;
    }

    /** Records whether the engine carries out an order of which nothing else is known. */
    void setBusyWithUnknownOrder(boolean unknown) {
        busyUnknown = unknown;
    }

    /**
     * Returns true if the engine loads a model from the weight store or is about to, as far as is
     * known.
     */
    boolean mayLoadFromStore() {
        boolean loads = pending == null ? busyUnknown : pending.loadsFromStore();
        return loads || intent != null && loadSource(intent.model()) == LoadSource.STORE;
    }

    PlannedLoad plannedLoad() {
        return intent;
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

    /** Returns true if any report has been received since this router became leader. */
    boolean hasReported() {
        return reported;
    }

    /** Returns true if the last requested report has been received. */
    boolean hasAnsweredReportRequest() {
        return answered;
    }

    /** Records that the engine did not answer a request for a report. */
    void reportFailed() {
        answered = false;
    }

    void reset() {
        known = false;
        busyUnknown = false;
        reported = false;
        pending = null;
        intent = null;
        askedAt = Instant.MIN;
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
        return !known || pending != null || intent != null || !coming.isEmpty();
    }

    /** Returns true if the engine can take an order now. */
    boolean acceptsOrders(Instant now) {
        return known && pending == null && !now.isBefore(quietUntil) && !isLeaving();
    }

    /** Records whether operators drain the engine's availability zone. */
    void setZoneDrained(boolean given) {
        zoneDrained = given;
        if (given) {
            intent = null;
        }
    }

    /**
     * Returns true if the engine is about to stop receiving requests, so that models that only it
     * holds must be loaded elsewhere.
     */
    boolean isLeaving() {
        return facts.draining() || zoneDrained;
    }

    void pauseUntil(Instant until) {
        quietUntil = until;
    }

    /**
     * Returns true if a report may be requested: none was requested yet, or the last request is at
     * least {@code gap} old.
     */
    boolean isReportDue(Instant now, Duration gap) {
        return askedAt.equals(Instant.MIN) || !now.isBefore(askedAt.plus(gap));
    }

    void reportRequested(Instant now) {
        askedAt = now;
        answered = false;
    }

    /**
     * Applies what the list of upstreams says. Only reports count orders, so what a report said of
     * the held models takes precedence within an incarnation.
     */
    void applyFacts(UpstreamFacts given) {
        facts = given;
        updateCopies(given.inMemory(), given.onDisk());
        if (isNewIncarnation(given.held().startedAt())) {
            restarted(given.held());
        }
    }

    // Not every source states the start time.
    private boolean isNewIncarnation(long startedAt) {
        return startedAt != HeldModels.NO_START && startedAt != life;
    }

    private void restarted(HeldModels now) {
        life = now.startedAt();
        reset();
        coming.clear();
        loadedAt.clear();
        held = now;
    }

    /** Applies a report. Returns false if the report is older than what is known. */
    boolean applyReport(LoadInput.UpstreamReported report) {
        answered = true;
        reported = true;
        if (isNewIncarnation(report.held().startedAt())) {
            restarted(report.held());
        }
        updateCopies(report.inMemory(), report.onDisk());
        if (known && report.held().sequence() < held.sequence()) {
            return false;
        }
        known = true;
        HeldModels said = report.held();
        held = new HeldModels(life, said.sequence(), said.adapters());
        coming.keySet().removeIf(held::has);
        return true;
    }

    void orderSent(PendingOrder order) {
        pending = order;
    }

    void setPlannedLoad(PlannedLoad given) {
        intent = given;
    }

    void orderFinished() {
        pending = null;
    }

    void orderAccepted(Instant due) {
        pending = pending.asAccepted(due);
        held = new HeldModels(held.startedAt(), held.sequence() + 1, held.adapters());
    }

    void unloaded(ModelRef model) {
        held = held.without(model, held.sequence());
    }

    void loaded(ModelRef model, Instant now) {
        held = held.with(model, held.sequence());
        coming.remove(model);
        usedAt.put(model, now);
        if (!model.adapted()) {
            loadedAt.put(model.model(), now);
            inMemory.add(model.model());
            onDisk.add(model.model());
        }
    }

    void setSequence(long sequence) {
        held = new HeldModels(held.startedAt(), sequence, held.adapters());
    }

    void addLoadingAdapter(ModelRef adapter, Instant readyAt) {
        coming.put(adapter, readyAt);
    }

    Map<ModelRef, Instant> loadingAdapters() {
        return coming;
    }

    void markUsed(ModelRef model, Instant now) {
        usedAt.put(model, now);
    }

    Instant lastUsedAt(ModelRef model) {
        return usedAt.getOrDefault(model, Instant.MIN);
    }

    /**
     * Returns true if the model was loaded less than {@code moment} ago, so that the requests that
     * waited for it may not have arrived yet.
     */
    boolean wasLoadedWithin(String model, Instant now, Duration moment) {
        Instant at = loadedAt.get(model);
        return at != null && now.isBefore(at.plus(moment));
    }

    boolean holds(String model) {
        return held.adapters().containsKey(model);
    }

    boolean hasCopy(String model) {
        return inMemory.contains(model) || onDisk.contains(model);
    }

    /** Returns the models that the engine can load without the weight store. */
    Set<String> modelsWithCopy() {
        Set<String> all = new HashSet<>(onDisk);
        all.addAll(inMemory);
        return all;
    }

    LoadSource loadSource(String model) {
        if (inMemory.contains(model)) {
            return LoadSource.MEMORY;
        }
        return onDisk.contains(model) ? LoadSource.DISK : LoadSource.STORE;
    }

    /** Returns the free memory, in MB, counting everything that may be in memory. */
    double freeMb() {
        double used = 0;
        for (Map.Entry<String, Set<String>> entry : held.adapters().entrySet()) {
            used += modelMb(entry.getKey()) + entry.getValue().size() * adapterMb(entry.getKey());
        }
        for (ModelRef adapter : coming.keySet()) {
            used += adapterMb(adapter.model());
        }
        if (pending != null
                && pending.operation() == OrderOperation.LOAD
                && !held.has(pending.model())) {
            used += sizeMb(pending.model());
        }
        return spec.weightsMb() - used - reserve.megabytes();
    }

    int adapterCount() {
        return held.adapterCount() + coming.size() + reserve.adapterSlots();
    }

    double sizeMb(ModelRef model) {
        return model.adapted() ? adapterMb(model.model()) : modelMb(model.model());
    }

    double modelMb(String model) {
        ModelSpec known = spec.models().get(model);
        return known == null ? spec.weightsMb() : known.weightsMb();
    }

    double adapterMb(String model) {
        ModelSpec known = spec.models().get(model);
        return known == null ? 0 : known.adapterMb();
    }

    Duration adapterLoadTime(String model) {
        double millis =
                ADAPTER_BASE_MILLIS
                        + adapterMb(model) * ADAPTER_MILLIS_PER_MB
                        + ADAPTER_MARGIN_MILLIS;
        return Duration.ofNanos((long) (millis * 1e6));
    }

    private void updateCopies(Set<String> memory, Set<String> disk) {
        if (!memory.isEmpty() || !disk.isEmpty()) {
            inMemory.clear();
            onDisk.clear();
            inMemory.addAll(memory);
            onDisk.addAll(disk);
        }
    }
}
