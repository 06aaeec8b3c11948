package io.damaskyoke.direct;

import io.damaskyoke.control.cold.UpstreamShare;
import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.direct.ServiceSpec;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamSelector;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Queues requests and sends each to an upstream as soon as one has capacity, the highest priority
 * first.
 *
 * <p>Most requests find an upstream with capacity at once. Each model and each set of allowed
 * regions has a queue of its own, so that requests which wait for a model to be loaded, or for
 * certain regions, do not block the others.
 */
final class UpstreamDispatcher {
    /** Requests per slot at an upstream of a plain service; a short queue there keeps it busy. */
    private static final double PLAIN_REQUESTS_PER_SLOT = 1.5;

    /**
     * Requests per slot at a model engine, which runs its whole batch at once and needs no queue.
     */
    private static final double ENGINE_REQUESTS_PER_SLOT = 1.0;

    /** The usual time to load a model from an upstream's own memory or disk. */
    private static final Duration LOCAL_LOAD_TIME = Duration.ofMillis(800);

    private final UpstreamTable upstreams;
    private final InstantSource clock;
    private final Consumer<Runnable> afterReads;
    private final UpstreamSelector plainSelector;
    private final UpstreamSelector engineSelector;
    private final ArrivalRates arrivalRates = new ArrivalRates();
    private final Map<String, String> regions;
    private final Map<String, Map<QueueKey, TreeSet<QueueEntry>>> queues = new HashMap<>();
    private final Set<String> servicesToSend = new LinkedHashSet<>();
    private Set<String> engineServices = Set.of();
    private Runnable modelUnavailable = () -> {};
    private long lastSequence;

    /** The key of a queue: what its requests have in common. */
    private record QueueKey(Optional<ModelRef> model, AllowedRegions allowedRegions) {
        static QueueKey of(PendingRequest request) {
            return new QueueKey(request.model(), request.allowedRegions());
        }
    }

    /** A queued request with its sequence number, ordered by priority, then by arrival. */
    private record QueueEntry(PendingRequest request, long sequence)
            implements Comparable<QueueEntry> {
        private static final Comparator<QueueEntry> ORDER =
                Comparator.comparingInt((QueueEntry entry) -> entry.request().priority())
                        .thenComparingLong(QueueEntry::sequence);

        @Override
        public int compareTo(QueueEntry other) {
            return ORDER.compare(this, other);
        }
    }

    /**
     * Creates the queues of a router.
     *
     * @param upstreams the known upstreams
     * @param zone the availability zone of this router
     * @param regions the region of each zone
     * @param clock the source of the current time
     * @param afterReads runs a step after all data received so far, such as disconnects of callers,
     *     has been processed
     * @param share the share of each upstream's capacity that this router may use
     */
    UpstreamDispatcher(
            UpstreamTable upstreams,
            String zone,
            Map<String, String> regions,
            InstantSource clock,
            Consumer<Runnable> afterReads,
            UpstreamShare share) {
        this.upstreams = upstreams;
        this.clock = clock;
        this.afterReads = afterReads;
        this.regions = Map.copyOf(regions);
        this.plainSelector =
                new UpstreamSelector(zone, PLAIN_REQUESTS_PER_SLOT, share, new SplittableRandom());
        this.engineSelector =
                new UpstreamSelector(zone, ENGINE_REQUESTS_PER_SLOT, share, new SplittableRandom());
    }

    /** Sets the action that runs when a request is queued for a model that no upstream holds. */
    void onModelUnavailable(Runnable action) {
        modelUnavailable = action;
    }

    /** Sets the services whose upstreams are model engines. */
    void setEngineServices(List<ServiceSpec> engineSpecs) {
        Set<String> names = new HashSet<>();
        engineSpecs.forEach(spec -> names.add(spec.name()));
        engineServices = names;
    }

    /** Records that a caller has requested a model. */
    void recordArrival(ModelRef model) {
        arrivalRates.recordArrival(model, clock.instant());
    }

    /** Sends the request now, or queues it until an upstream has capacity. */
    void enqueue(PendingRequest request) {
        Instant now = clock.instant();
        if (allZonesClosed(request, now)) {
            request.handleNoUpstream();
            return;
        }
        queue(request).add(new QueueEntry(request, ++lastSequence));
        sendQueued(request.service());
        boolean queued = isQueued(request);
        if (queued && request.model().isPresent() && !isModelHeld(request, now)) {
            modelUnavailable.run();
        }
    }

    /** Removes a request whose caller has disconnected or that was answered in another way. */
    void remove(PendingRequest request) {
        Map<QueueKey, TreeSet<QueueEntry>> serviceQueues = queues.get(request.service());
        TreeSet<QueueEntry> queue =
                serviceQueues == null ? null : serviceQueues.get(QueueKey.of(request));
        if (queue != null) {
            queue.removeIf(entry -> entry.request() == request);
            if (queue.isEmpty()) {
                serviceQueues.remove(QueueKey.of(request));
            }
        }
    }

    /**
     * Sends queued requests of a service after a change at its upstreams, once all data received so
     * far has been processed.
     *
     * <p>Answers and announcements that free capacity are read in the same batch as disconnects of
     * callers, in any order. If sent at once, a request might go upstream although the disconnect
     * of its caller is read next.
     */
    void sendQueued(String service) {
        if (queues.getOrDefault(service, Map.of()).isEmpty()) {
            return;
        }
        servicesToSend.add(service);
        if (servicesToSend.size() == 1) {
            afterReads.accept(this::sendAllQueued);
        }
    }

    private void sendAllQueued() {
        List<String> services = List.copyOf(servicesToSend);
        servicesToSend.clear();
        services.forEach(this::sendQueuedNow);
    }

    private void sendQueuedNow(String service) {
        Map<QueueKey, TreeSet<QueueEntry>> serviceQueues = queues.get(service);
        if (serviceQueues == null || serviceQueues.isEmpty()) {
            return;
        }
        List<TreeSet<QueueEntry>> byPriority = new ArrayList<>(serviceQueues.values());
        byPriority.removeIf(TreeSet::isEmpty);
        byPriority.sort(Comparator.comparing(TreeSet::first));
        for (TreeSet<QueueEntry> queue : byPriority) {
            sendQueue(service, queue);
        }
        serviceQueues.values().removeIf(TreeSet::isEmpty);
    }

    /** Sends queued requests of all services and refuses those that have waited too long. */
    void tick() {
        Instant now = clock.instant();
        List<PendingRequest> expired = new ArrayList<>();
        for (String service : List.copyOf(queues.keySet())) {
            sendQueued(service);
            for (TreeSet<QueueEntry> queue : queues.get(service).values()) {
                boolean unservable =
                        !queue.isEmpty() && allZonesClosed(queue.first().request(), now);
                queue.stream()
                        .map(QueueEntry::request)
                        .filter(request -> unservable || !now.isBefore(request.queueDeadline()))
                        .forEach(expired::add);
            }
        }
        expired.forEach(this::remove);
        expired.forEach(PendingRequest::handleNoUpstream);
    }

    /** Returns this router's demand for models and its view of the upstreams, for the leader. */
    LoadInput.DemandReported demand(VmId self) {
        Instant now = clock.instant();
        Map<ModelRef, Double> arrivalsPerSecond = arrivalRates.ratesPerSecond(now);
        Map<ModelRef, LoadInput.ModelDemand> demands = new TreeMap<>();
        arrivalsPerSecond.forEach(
                (model, rate) ->
                        demands.put(
                                model,
                                new LoadInput.ModelDemand(model, 0, Duration.ZERO, 9, rate)));
        queuedByModel()
                .forEach(
                        (model, queue) ->
                                demands.put(
                                        model, modelDemand(model, queue, arrivalsPerSecond, now)));
        Map<UpstreamId, Map<ModelRef, Integer>> running = new TreeMap<>();
        Set<UpstreamId> ejected = new HashSet<>();
        for (Upstream upstream : upstreams.all()) {
            if (!upstream.runningByModel().isEmpty()) {
                running.put(upstream.facts().id(), new TreeMap<>(upstream.runningByModel()));
            }
            if (upstream.isEjected()) {
                ejected.add(upstream.facts().id());
            }
        }
        return new LoadInput.DemandReported(self, List.copyOf(demands.values()), running, ejected);
    }

    private Map<ModelRef, TreeSet<QueueEntry>> queuedByModel() {
        Map<ModelRef, TreeSet<QueueEntry>> queued = new TreeMap<>();
        for (Map<QueueKey, TreeSet<QueueEntry>> serviceQueues : queues.values()) {
            serviceQueues.forEach(
                    (key, queue) ->
                            key.model()
                                    .filter(any -> !queue.isEmpty())
                                    .map(
                                            model ->
                                                    queued.computeIfAbsent(
                                                            model, any -> new TreeSet<>()))
                                    .ifPresent(all -> all.addAll(queue)));
        }
        return queued;
    }

    private static LoadInput.ModelDemand modelDemand(
            ModelRef model,
            TreeSet<QueueEntry> queue,
            Map<ModelRef, Double> arrivalRates,
            Instant now) {
        Instant firstArrival = now;
        int inTime = 0;
        for (QueueEntry entry : queue) {
            Instant arrivedAt = entry.request().arrivedAt();
            firstArrival = arrivedAt.isBefore(firstArrival) ? arrivedAt : firstArrival;
            inTime +=
                    now.plus(LOCAL_LOAD_TIME).isBefore(entry.request().onTimeSendDeadline())
                            ? 1
                            : 0;
        }
        return new LoadInput.ModelDemand(
                model,
                queue.size(),
                Duration.between(firstArrival, now),
                queue.first().request().priority(),
                arrivalRates.getOrDefault(model, 0.0),
                inTime);
    }

    private void sendQueue(String service, TreeSet<QueueEntry> queue) {
        UpstreamSelector selector =
                engineServices.contains(service) ? engineSelector : plainSelector;
        while (!queue.isEmpty()) {
            QueueEntry first = queue.first();
            PendingRequest request = first.request();
            Optional<Upstream> upstream =
                    selector.pick(
                            candidates(request),
                            request.model().orElse(null),
                            request.tokenUsage(),
                            request.excludedUpstreams(),
                            clock.instant());
            if (upstream.isEmpty()) {
                return;
            }
            queue.remove(first);
            request.sendTo(upstream.get());
        }
    }

    // Drained zones do not reopen within a caller's time, and no upstream moves to another region.
    private boolean allZonesClosed(PendingRequest request, Instant now) {
        boolean any = !upstreams.ofService(request.service()).isEmpty();
        return any && candidates(request).stream().allMatch(each -> each.isZoneClosed(now));
    }

    private List<Upstream> candidates(PendingRequest request) {
        List<Upstream> all = upstreams.ofService(request.service());
        return request.allowedRegions().isUnrestricted()
                ? all
                : all.stream()
                        .filter(each -> request.allowedRegions().allows(region(each)))
                        .toList();
    }

    private String region(Upstream upstream) {
        return regions.getOrDefault(upstream.facts().zone(), "");
    }

    private boolean isModelHeld(PendingRequest request, Instant now) {
        return UpstreamSelector.anyHolds(candidates(request), request.model().orElse(null), now);
    }

    private boolean isQueued(PendingRequest request) {
        return queues
                .getOrDefault(request.service(), Map.of())
                .getOrDefault(QueueKey.of(request), new TreeSet<>())
                .stream()
                .anyMatch(entry -> entry.request() == request);
    }

    private TreeSet<QueueEntry> queue(PendingRequest request) {
        return queues.computeIfAbsent(request.service(), any -> new HashMap<>())
                .computeIfAbsent(QueueKey.of(request), any -> new TreeSet<>());
    }
}
