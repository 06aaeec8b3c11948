package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Aggregates the demand reports of all routers. A report counts until it expires. Reports are
 * summed when a planning round needs the totals and not as they arrive: {@code book.said(...);
 * book.addUp(now)}.
 */
final class DemandAggregator {
    /**
     * Lifetime of a report. A router without changes repeats its report every 0.6 s, so one that is
     * silent for this long is gone.
     */
    private static final Duration VALID = Duration.ofSeconds(2);

    /**
     * Time after the first request from which arrival rates are meaningful: a model that nobody has
     * requested by then is not busy.
     */
    private static final Duration YOUNG = Duration.ofSeconds(4);

    private final Map<VmId, ReceivedReport> byRouter = new HashMap<>();
    private final Map<ModelRef, LoadInput.ModelDemand> wants = new HashMap<>();
    private final Map<String, Double> perSecond = new HashMap<>();
    private final Map<String, Double> adaptersPerSecond = new HashMap<>();
    private final Map<String, Integer> waiting = new HashMap<>();
    private final Map<String, Duration> oldest = new HashMap<>();
    private List<LoadInput.ModelDemand> inOrder = List.of();
    private final Map<UpstreamId, Map<ModelRef, Integer>> runningAt = new HashMap<>();
    private final Map<UpstreamId, Map<String, Integer>> runningModels = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Integer> adaptersAsked = new HashMap<>();
    private final Map<UpstreamId, Integer> suspecting = new HashMap<>();
    private final Map<String, Double> weights = new HashMap<>();

    private Instant firstAt;
    private boolean changed;

    private record ReceivedReport(LoadInput.DemandReported demand, Instant receivedAt) {}

    void record(LoadInput.DemandReported demanded, Instant now) {
        byRouter.put(demanded.router(), new ReceivedReport(demanded, now));
        if (firstAt == null && !demanded.demands().isEmpty()) {
            firstAt = now;
        }
        changed = true;
    }

    /** Returns true until requests have arrived for long enough to show which models are busy. */
    boolean isWarmingUp(Instant now) {
        return firstAt == null || now.isBefore(firstAt.plus(YOUNG));
    }

    /**
     * Returns true while no router has reported a request since this planner started to receive
     * reports.
     */
    boolean hasSeenNoRequests() {
        return firstAt == null;
    }

    /** Removes the reports that have expired. */
    void removeExpired(Instant now) {
        changed |=
                byRouter.values().removeIf(entry -> entry.receivedAt().plus(VALID).isBefore(now));
    }

    /** Returns true if any router has reported waiting requests. */
    boolean hasWaitingRequests() {
        return !inOrder.isEmpty();
    }

    /**
     * Returns the models and adapters that requests wait for, in the order in which they are to be
     * served.
     *
     * <p>Busy models come first: loading one lets dozens of requests proceed, loading a rare one
     * only a few. Ordered by age alone, rare models that have waited long for scarce engines would
     * repeatedly delay a busy one until all its callers have given up.
     *
     * <p>Among rare models, those come first whose requests can still be answered in time, by the
     * number of such requests per MB of the model. When more is requested than can be loaded,
     * ordering by age would make every request late by the same number of seconds.
     */
    List<LoadInput.ModelDemand> waitingInOrder() {
        return inOrder;
    }

    private List<LoadInput.ModelDemand> sortWaiting() {
        List<LoadInput.ModelDemand> sorted = new ArrayList<>();
        for (LoadInput.ModelDemand want : wants.values()) {
            if (want.waiting() > 0) {
                sorted.add(want);
            }
        }
        sorted.sort(
                Comparator.comparing((LoadInput.ModelDemand want) -> !isBusy(want))
                        .thenComparing(want -> want.inTime() == 0)
                        .thenComparingDouble(want -> -want.inTime() / sizeMb(want))
                        .thenComparingInt(LoadInput.ModelDemand::urgency)
                        .thenComparingInt(want -> -want.waiting())
                        .thenComparing(
                                LoadInput.ModelDemand::longestWait, Comparator.reverseOrder())
                        .thenComparing(LoadInput.ModelDemand::model));
        return sorted;
    }

    /** Sets the memory that each model takes, in MB. */
    void setModelSizes(Map<String, Double> given) {
        weights.clear();
        weights.putAll(given);
    }

    private double sizeMb(LoadInput.ModelDemand want) {
        return weights.getOrDefault(want.model().model(), 1.0);
    }

    private boolean isBusy(LoadInput.ModelDemand want) {
        return ReplicaGoal.isBusy(want.model().model(), this);
    }

    /** Returns the number of requests that wait for the model or one of its adapters. */
    int waitingFor(String model) {
        return waiting.getOrDefault(model, 0);
    }

    /** Returns the number of requests that wait for exactly this model or adapter. */
    int waitingFor(ModelRef model) {
        LoadInput.ModelDemand want = wants.get(model);
        return want == null ? 0 : want.waiting();
    }

    /** Returns how long the first request has waited for the model or one of its adapters. */
    Duration longestWait(String model) {
        return oldest.getOrDefault(model, Duration.ZERO);
    }

    /** Returns how many of the model's adapters were requested recently. */
    int requestedAdapters(String model) {
        return adaptersAsked.getOrDefault(model, 0);
    }

    /** Returns the arrivals per second for the model and all its adapters. */
    double arrivalsPerSecond(String model) {
        return perSecond.getOrDefault(model, 0.0);
    }

    /** Returns the arrivals per second for the model's adapters. */
    double adapterArrivalsPerSecond(String model) {
        return adaptersPerSecond.getOrDefault(model, 0.0);
    }

    /** Returns the arrivals per second for exactly this model or adapter. */
    double arrivalsPerSecond(ModelRef model) {
        LoadInput.ModelDemand want = wants.get(model);
        return want == null ? 0 : want.arrivalsPerSecond();
    }

    /**
     * Returns the number of requests for the model, with or without an adapter, that run on the
     * upstream.
     */
    int running(UpstreamId upstream, String model) {
        return runningModels.getOrDefault(upstream, Map.of()).getOrDefault(model, 0);
    }

    /**
     * Returns the number of requests for exactly this model or adapter that run on the upstream.
     */
    int running(UpstreamId upstream, ModelRef model) {
        return runningAt.getOrDefault(upstream, Map.of()).getOrDefault(model, 0);
    }

    /** Returns the number of requests for the model that run on any upstream. */
    int running(String model) {
        return running.getOrDefault(model, 0);
    }

    /**
     * Returns true if at least half of the routers report that the upstream fails their requests.
     */
    boolean isSuspect(UpstreamId upstream) {
        int finding = suspecting.getOrDefault(upstream, 0);
        return finding > 0 && 2 * finding >= byRouter.size();
    }

    /**
     * Recomputes the totals if reports have changed since the last call. The other methods return
     * the totals of the last call.
     */
    void aggregate(Instant now) {
        if (!changed) {
            return;
        }
        changed = false;
        wants.clear();
        perSecond.clear();
        adaptersPerSecond.clear();
        waiting.clear();
        oldest.clear();
        adaptersAsked.clear();
        suspecting.clear();
        aggregateRunning();
        for (ReceivedReport entry : byRouter.values()) {
            Duration age = Duration.between(entry.receivedAt(), now);
            for (LoadInput.ModelDemand want : entry.demand().demands()) {
                add(want, age);
            }
            entry.demand().suspects().forEach(id -> suspecting.merge(id, 1, Integer::sum));
        }
        inOrder = sortWaiting();
    }

    private void aggregateRunning() {
        runningAt.clear();
        runningModels.clear();
        running.clear();
        for (ReceivedReport entry : byRouter.values()) {
            entry.demand().running().forEach(this::addRunning);
        }
    }

    private void addRunning(UpstreamId upstream, Map<ModelRef, Integer> counts) {
        Map<ModelRef, Integer> here = runningAt.computeIfAbsent(upstream, any -> new HashMap<>());
        Map<String, Integer> models =
                runningModels.computeIfAbsent(upstream, any -> new HashMap<>());
        counts.forEach(
                (model, count) -> {
                    here.merge(model, count, Integer::sum);
                    models.merge(model.model(), count, Integer::sum);
                    running.merge(model.model(), count, Integer::sum);
                });
    }

    private void add(LoadInput.ModelDemand want, Duration age) {
        perSecond.merge(want.model().model(), want.arrivalsPerSecond(), Double::sum);
        waiting.merge(want.model().model(), want.waiting(), Integer::sum);
        if (want.waiting() > 0) {
            oldest.merge(
                    want.model().model(), want.longestWait().plus(age), DemandAggregator::longer);
        }
        if (want.model().adapted()) {
            adaptersPerSecond.merge(want.model().model(), want.arrivalsPerSecond(), Double::sum);
        }
        LoadInput.ModelDemand aged =
                new LoadInput.ModelDemand(
                        want.model(),
                        want.waiting(),
                        want.longestWait().plus(age),
                        want.urgency(),
                        want.arrivalsPerSecond(),
                        want.inTime());
        if (wants.put(want.model(), merge(wants.get(want.model()), aged)) == null
                && want.model().adapted()) {
            adaptersAsked.merge(want.model().model(), 1, Integer::sum);
        }
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    private static LoadInput.ModelDemand merge(
            LoadInput.ModelDemand one, LoadInput.ModelDemand other) {
        if (one == null) {
            return other;
        }
        boolean longer = one.longestWait().compareTo(other.longestWait()) >= 0;
        return new LoadInput.ModelDemand(
                one.model(),
                one.waiting() + other.waiting(),
                longer ? one.longestWait() : other.longestWait(),
                Math.min(one.urgency(), other.urgency()),
                one.arrivalsPerSecond() + other.arrivalsPerSecond(),
                one.inTime() + other.inTime());
    }
}
