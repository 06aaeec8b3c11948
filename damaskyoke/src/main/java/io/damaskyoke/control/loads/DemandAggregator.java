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
 * summed when a planning round needs the totals and not as they arrive: {@code
 * demand.recordReport(...); demand.aggregate(now)}.
 */
final class DemandAggregator {
    /**
     * Lifetime of a report. A router without changes repeats its report every 0.6 s, so one that is
     * silent for this long is gone.
     */
    private static final Duration REPORT_LIFETIME = Duration.ofSeconds(2);

    /**
     * Time after the first request from which arrival rates are meaningful: a model that nobody has
     * requested by then is not busy.
     */
    private static final Duration WARM_UP = Duration.ofSeconds(4);

    private final Map<VmId, ReceivedReport> reports = new HashMap<>();
    private final Map<ModelRef, LoadInput.ModelDemand> demands = new HashMap<>();
    private final Map<String, Double> arrivalRates = new HashMap<>();
    private final Map<String, Double> adapterArrivalRates = new HashMap<>();
    private final Map<String, Integer> waitingByModel = new HashMap<>();
    private final Map<String, Duration> longestWaits = new HashMap<>();
    private List<LoadInput.ModelDemand> waitingInOrder = List.of();
    private final Map<UpstreamId, Map<ModelRef, Integer>> runningByUpstream = new HashMap<>();
    private final Map<UpstreamId, Map<String, Integer>> runningModelsByUpstream = new HashMap<>();
    private final Map<String, Integer> runningByModel = new HashMap<>();
    private final Map<String, Integer> requestedAdapters = new HashMap<>();
    private final Map<UpstreamId, Integer> suspectReports = new HashMap<>();
    private final Map<String, Double> modelSizesMb = new HashMap<>();

    private Instant firstRequestAt;
    private boolean changed;

    private record ReceivedReport(LoadInput.DemandReported demand, Instant receivedAt) {}

    void recordReport(LoadInput.DemandReported report, Instant now) {
        reports.put(report.router(), new ReceivedReport(report, now));
        if (firstRequestAt == null && !report.demands().isEmpty()) {
            firstRequestAt = now;
        }
        changed = true;
    }

    /** Returns true until requests have arrived for long enough to show which models are busy. */
    boolean isWarmingUp(Instant now) {
        return firstRequestAt == null || now.isBefore(firstRequestAt.plus(WARM_UP));
    }

    /**
     * Returns true while no router has reported a request since this planner started to receive
     * reports.
     */
    boolean hasSeenNoRequests() {
        return firstRequestAt == null;
    }

    /** Removes the reports that have expired. */
    void removeExpired(Instant now) {
        changed |=
                reports.values()
                        .removeIf(
                                report -> report.receivedAt().plus(REPORT_LIFETIME).isBefore(now));
    }

    /** Returns true if any router has reported waiting requests. */
    boolean hasWaitingRequests() {
        return !waitingInOrder.isEmpty();
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
        return waitingInOrder;
    }

    private List<LoadInput.ModelDemand> sortWaiting() {
        List<LoadInput.ModelDemand> sorted = new ArrayList<>();
        for (LoadInput.ModelDemand modelDemand : demands.values()) {
            if (modelDemand.waiting() > 0) {
                sorted.add(modelDemand);
            }
        }
        sorted.sort(
                Comparator.comparing((LoadInput.ModelDemand modelDemand) -> !isBusy(modelDemand))
                        .thenComparing(modelDemand -> modelDemand.inTime() == 0)
                        .thenComparingDouble(
                                modelDemand -> -modelDemand.inTime() / sizeMb(modelDemand))
                        .thenComparingInt(LoadInput.ModelDemand::urgency)
                        .thenComparingInt(modelDemand -> -modelDemand.waiting())
                        .thenComparing(
                                LoadInput.ModelDemand::longestWait, Comparator.reverseOrder())
                        .thenComparing(LoadInput.ModelDemand::model));
        return sorted;
    }

    /** Sets the memory that each model takes, in MB. */
    void setModelSizes(Map<String, Double> sizesMb) {
        modelSizesMb.clear();
        modelSizesMb.putAll(sizesMb);
    }

    private double sizeMb(LoadInput.ModelDemand modelDemand) {
        return modelSizesMb.getOrDefault(modelDemand.model().model(), 1.0);
    }

    private boolean isBusy(LoadInput.ModelDemand modelDemand) {
        return ReplicaGoal.isBusy(modelDemand.model().model(), this);
    }

    /** Returns the number of requests that wait for the model or one of its adapters. */
    int waitingFor(String model) {
        return waitingByModel.getOrDefault(model, 0);
    }

    /** Returns the number of requests that wait for exactly this model or adapter. */
    int waitingFor(ModelRef model) {
        LoadInput.ModelDemand modelDemand = demands.get(model);
        return modelDemand == null ? 0 : modelDemand.waiting();
    }

    /** Returns how long the first request has waited for the model or one of its adapters. */
    Duration longestWait(String model) {
        return longestWaits.getOrDefault(model, Duration.ZERO);
    }

    /** Returns how many of the model's adapters were requested recently. */
    int requestedAdapters(String model) {
        return requestedAdapters.getOrDefault(model, 0);
    }

    /** Returns the arrivals per second for the model and all its adapters. */
    double arrivalsPerSecond(String model) {
        return arrivalRates.getOrDefault(model, 0.0);
    }

    /** Returns the arrivals per second for the model's adapters. */
    double adapterArrivalsPerSecond(String model) {
        return adapterArrivalRates.getOrDefault(model, 0.0);
    }

    /** Returns the arrivals per second for exactly this model or adapter. */
    double arrivalsPerSecond(ModelRef model) {
        LoadInput.ModelDemand modelDemand = demands.get(model);
        return modelDemand == null ? 0 : modelDemand.arrivalsPerSecond();
    }

    /**
     * Returns the number of requests for the model, with or without an adapter, that run on the
     * upstream.
     */
    int running(UpstreamId upstream, String model) {
        return runningModelsByUpstream.getOrDefault(upstream, Map.of()).getOrDefault(model, 0);
    }

    /**
     * Returns the number of requests for exactly this model or adapter that run on the upstream.
     */
    int running(UpstreamId upstream, ModelRef model) {
        return runningByUpstream.getOrDefault(upstream, Map.of()).getOrDefault(model, 0);
    }

    /** Returns the number of requests for the model that run on any upstream. */
    int running(String model) {
        return runningByModel.getOrDefault(model, 0);
    }

    /**
     * Returns true if at least half of the routers report that the upstream fails their requests,
     * has asked them for a long pause, or leaves.
     */
    boolean isSuspect(UpstreamId upstream) {
        int reporting = suspectReports.getOrDefault(upstream, 0);
        return reporting > 0 && 2 * reporting >= reports.size();
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
        demands.clear();
        arrivalRates.clear();
        adapterArrivalRates.clear();
        waitingByModel.clear();
        longestWaits.clear();
        requestedAdapters.clear();
        suspectReports.clear();
        aggregateRunning();
        for (ReceivedReport report : reports.values()) {
            Duration age = Duration.between(report.receivedAt(), now);
            for (LoadInput.ModelDemand modelDemand : report.demand().demands()) {
                add(modelDemand, age);
            }
            report.demand().suspects().forEach(id -> suspectReports.merge(id, 1, Integer::sum));
        }
        waitingInOrder = sortWaiting();
    }

    private void aggregateRunning() {
        runningByUpstream.clear();
        runningModelsByUpstream.clear();
        runningByModel.clear();
        for (ReceivedReport report : reports.values()) {
            report.demand().running().forEach(this::addRunning);
        }
    }

    private void addRunning(UpstreamId upstream, Map<ModelRef, Integer> counts) {
        Map<ModelRef, Integer> byRef =
                runningByUpstream.computeIfAbsent(upstream, any -> new HashMap<>());
        Map<String, Integer> byModel =
                runningModelsByUpstream.computeIfAbsent(upstream, any -> new HashMap<>());
        counts.forEach(
                (model, count) -> {
                    byRef.merge(model, count, Integer::sum);
                    byModel.merge(model.model(), count, Integer::sum);
                    runningByModel.merge(model.model(), count, Integer::sum);
                });
    }

    private void add(LoadInput.ModelDemand modelDemand, Duration age) {
        arrivalRates.merge(
                modelDemand.model().model(), modelDemand.arrivalsPerSecond(), Double::sum);
        waitingByModel.merge(modelDemand.model().model(), modelDemand.waiting(), Integer::sum);
        if (modelDemand.waiting() > 0) {
            longestWaits.merge(
                    modelDemand.model().model(),
                    modelDemand.longestWait().plus(age),
                    DemandAggregator::longer);
        }
        if (modelDemand.model().hasAdapter()) {
            adapterArrivalRates.merge(
                    modelDemand.model().model(), modelDemand.arrivalsPerSecond(), Double::sum);
        }
        LoadInput.ModelDemand aged =
                new LoadInput.ModelDemand(
                        modelDemand.model(),
                        modelDemand.waiting(),
                        modelDemand.longestWait().plus(age),
                        modelDemand.urgency(),
                        modelDemand.arrivalsPerSecond(),
                        modelDemand.inTime());
        if (demands.put(modelDemand.model(), merge(demands.get(modelDemand.model()), aged)) == null
                && modelDemand.model().hasAdapter()) {
            requestedAdapters.merge(modelDemand.model().model(), 1, Integer::sum);
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
        boolean firstIsLonger = one.longestWait().compareTo(other.longestWait()) >= 0;
        return new LoadInput.ModelDemand(
                one.model(),
                one.waiting() + other.waiting(),
                firstIsLonger ? one.longestWait() : other.longestWait(),
                Math.min(one.urgency(), other.urgency()),
                one.arrivalsPerSecond() + other.arrivalsPerSecond(),
                one.inTime() + other.inTime());
    }
}
