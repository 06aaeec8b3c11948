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
 * One upstream of a model service as the planner sees it: what it holds, what it is ordered to do,
 * and what that leaves room for. Whatever may be held counts as held.
 */
final class Engine {
    /** An adapter's way from the store, in ms: 5 for the smallest, 9.7 for the largest. */
    private static final double ADAPTER_BASE_MILLIS = 4;

    private static final double ADAPTER_MILLIS_PER_MB = 0.09;

    /** On top of an adapter's usual way, so that a request doesn't find it still coming. */
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
    private Pending pending;
    private Intent intent;
    private boolean zoneDrained;
    private boolean known;
    private boolean answered;
    private boolean busyUnknown;
    private boolean reported;
    private Instant quietUntil = Instant.MIN;
    private Instant askedAt = Instant.MIN;
    private OpenLoads.Reserve reserve = OpenLoads.Reserve.NONE;

    /** An order that is under way. */
    record Pending(
            long number,
            Verb verb,
            ModelRef model,
            LoadSource source,
            Instant sentAt,
            boolean accepted,
            Instant dueAt) {
        boolean loadsFromStore() {
            return verb == Verb.LOAD && source == LoadSource.STORE && !model.hasAdapter();
        }

        Pending acceptedUntil(Instant due) {
            return new Pending(number, verb, model, source, sentAt, true, due);
        }
    }

    /** A model that is to be loaded here once there is room; nothing else is, meanwhile. */
    record Intent(String model, Instant until) {}

    Engine(EngineSpec spec, UpstreamFacts facts) {
        this.spec = spec;
        this.facts = facts;
        this.life = facts.held().startedAt();
        this.held = facts.held();
        copies(facts.inMemory(), facts.onDisk());
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

    /** Which life of it is known, by its start. */
    long life() {
        return life;
    }

    /** Leaves so much room for orders that may yet be carried out. */
    void reserve(OpenLoads.Reserve given) {
        reserve = given;
    }

    Pending pending() {
        return pending;
    }

    /** True if it carries out an order of which only that is known. */
    void busy(boolean unknown) {
        busyUnknown = unknown;
    }

    /** True if it loads a model from the weight store or is about to, as far as is known. */
    boolean mayLoadFromStore() {
        boolean loads = pending == null ? busyUnknown : pending.loadsFromStore();
        return loads || intent != null && source(intent.model()) == LoadSource.STORE;
    }

    Intent intent() {
        return intent;
    }

    /** True once it has reported since this router gives the orders. */
    boolean known() {
        return known;
    }

    /** What it holds must be reported before it gets another order. */
    void doubt() {
        known = false;
    }

    /** True if it has reported anything since this router gives the orders. */
    boolean reported() {
        return reported;
    }

    /** True if the last report that was asked for has come. */
    boolean answered() {
        return answered;
    }

    /** It gave no report. */
    void silent() {
        answered = false;
    }

    void forget() {
        known = false;
        busyUnknown = false;
        reported = false;
        pending = null;
        intent = null;
        askedAt = Instant.MIN;
    }

    /** How long its present order will take, as far as that is known. */
    Duration barredFor(Instant now) {
        return pending == null || !pending.dueAt().isAfter(now)
                ? Duration.ZERO
                : Duration.between(now, pending.dueAt());
    }

    /** True if something is about to change here: an order, a report, an adapter on its way. */
    boolean underWay() {
        return !known || pending != null || intent != null || !coming.isEmpty();
    }

    /** True if an order may be given now. */
    boolean free(Instant now) {
        return known && pending == null && !now.isBefore(quietUntil) && !leaves();
    }

    /** Operators drain its zone, or no longer do. */
    void zoneDrained(boolean given) {
        zoneDrained = given;
        if (given) {
            intent = null;
        }
    }

    /**
     * True if it is about to get no more requests, so that what only it holds is to be elsewhere.
     */
    boolean leaves() {
        return facts.draining() || zoneDrained;
    }

    void quiet(Instant until) {
        quietUntil = until;
    }

    /** True if a report is due: none is awaited, or the last one asked for was long ago. */
    boolean mayAsk(Instant now, Duration gap) {
        return askedAt.equals(Instant.MIN) || !now.isBefore(askedAt.plus(gap));
    }

    void asked(Instant now) {
        askedAt = now;
        answered = false;
    }

    /** Takes in what the list says. Only reports count orders, so they go before it. */
    void listed(UpstreamFacts given) {
        facts = given;
        copies(given.inMemory(), given.onDisk());
        if (isOtherLife(given.held().startedAt())) {
            reborn(given.held());
        }
    }

    // Not every source tells the start.
    private boolean isOtherLife(long startedAt) {
        return startedAt != HeldModels.UNKNOWN_START && startedAt != life;
    }

    private void reborn(HeldModels now) {
        life = now.startedAt();
        forget();
        coming.clear();
        loadedAt.clear();
        held = now;
    }

    /** Takes in a report; false if it is older than what is known. */
    boolean reported(LoadInput.Reported report) {
        answered = true;
        reported = true;
        if (isOtherLife(report.held().startedAt())) {
            reborn(report.held());
        }
        copies(report.inMemory(), report.onDisk());
        if (known && report.held().sequence() < held.sequence()) {
            return false;
        }
        known = true;
        HeldModels said = report.held();
        held = new HeldModels(life, said.sequence(), said.adapters());
        coming.keySet().removeIf(held::contains);
        return true;
    }

    void sent(Pending order) {
        pending = order;
    }

    void intend(Intent given) {
        intent = given;
    }

    void over() {
        pending = null;
    }

    void accepted(Instant due) {
        pending = pending.acceptedUntil(due);
        held = new HeldModels(held.startedAt(), held.sequence() + 1, held.adapters());
    }

    void unloaded(ModelRef model) {
        held = held.without(model, held.sequence());
    }

    void loaded(ModelRef model, Instant now) {
        held = held.with(model, held.sequence());
        coming.remove(model);
        usedAt.put(model, now);
        if (!model.hasAdapter()) {
            loadedAt.put(model.model(), now);
            inMemory.add(model.model());
            onDisk.add(model.model());
        }
    }

    void counted(long sequence) {
        held = new HeldModels(held.startedAt(), sequence, held.adapters());
    }

    void comes(ModelRef adapter, Instant readyAt) {
        coming.put(adapter, readyAt);
    }

    Map<ModelRef, Instant> coming() {
        return coming;
    }

    void used(ModelRef model, Instant now) {
        usedAt.put(model, now);
    }

    Instant usedAt(ModelRef model) {
        return usedAt.getOrDefault(model, Instant.MIN);
    }

    /** True if the model came a moment ago, and those who waited for it may not be here yet. */
    boolean justLoaded(String model, Instant now, Duration moment) {
        Instant at = loadedAt.get(model);
        return at != null && now.isBefore(at.plus(moment));
    }

    boolean has(String model) {
        return held.adapters().containsKey(model);
    }

    boolean hasCopy(String model) {
        return inMemory.contains(model) || onDisk.contains(model);
    }

    /** Models that it can load without the store. */
    Set<String> copies() {
        Set<String> all = new HashSet<>(onDisk);
        all.addAll(inMemory);
        return all;
    }

    LoadSource source(String model) {
        if (inMemory.contains(model)) {
            return LoadSource.MEMORY;
        }
        return onDisk.contains(model) ? LoadSource.DISK : LoadSource.STORE;
    }

    /** Memory that is left, in MB, with everything counted that may be here. */
    double freeMb() {
        double used = 0;
        for (Map.Entry<String, Set<String>> entry : held.adapters().entrySet()) {
            used += weight(entry.getKey()) + entry.getValue().size() * adapterMb(entry.getKey());
        }
        for (ModelRef adapter : coming.keySet()) {
            used += adapterMb(adapter.model());
        }
        if (pending != null && pending.verb() == Verb.LOAD && !held.contains(pending.model())) {
            used += megabytes(pending.model());
        }
        return spec.weightsMb() - used - reserve.megabytes();
    }

    int adapterCount() {
        return held.adapterCount() + coming.size() + reserve.places();
    }

    double megabytes(ModelRef model) {
        return model.hasAdapter() ? adapterMb(model.model()) : weight(model.model());
    }

    double weight(String model) {
        ModelSpec known = spec.models().get(model);
        return known == null ? spec.weightsMb() : known.weightsMb();
    }

    double adapterMb(String model) {
        ModelSpec known = spec.models().get(model);
        return known == null ? 0 : known.adapterMb();
    }

    Duration adapterTime(String model) {
        double millis =
                ADAPTER_BASE_MILLIS
                        + adapterMb(model) * ADAPTER_MILLIS_PER_MB
                        + ADAPTER_MARGIN_MILLIS;
        return Duration.ofNanos((long) (millis * 1e6));
    }

    private void copies(Set<String> memory, Set<String> disk) {
        if (!memory.isEmpty() || !disk.isEmpty()) {
            inMemory.clear();
            onDisk.clear();
            inMemory.addAll(memory);
            onDisk.addAll(disk);
        }
    }
}
