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
    private static final double PLAIN_QUEUEING = 1.5;

    /**
     * Requests per slot at a model engine, which runs its whole batch at once and needs no queue.
     */
    private static final double ENGINE_QUEUEING = 1.0;

    /** The usual time to load a model from an upstream's own memory or disk. */
    private static final Duration COMING = Duration.ofMillis(800);

    private final UpstreamTable upstreams;
    private final InstantSource clock;
    private final Consumer<Runnable> whenRead;
    private final UpstreamSelector plain;
    private final UpstreamSelector engines;
    private final ArrivalRates rates = new ArrivalRates();
    private final Map<String, String> regions;
    private final Map<String, Map<Group, TreeSet<Place>>> queues = new HashMap<>();
    private final Set<String> toDrain = new LinkedHashSet<>();
    private Set<String> engineServices = Set.of();
    private Runnable starved = () -> {};
    private long counter;

    /** The key of a queue: what its requests have in common. */
    private record Group(Optional<ModelRef> model, AllowedRegions homes) {
        static Group of(PendingRequest waiter) {
            return new Group(waiter.model(), waiter.allowedRegions());
        }
    }

    /** A queued request with its sequence number, ordered by priority, then by arrival. */
    private record Place(PendingRequest waiter, long number) implements Comparable<Place> {
        private static final Comparator<Place> ORDER =
                Comparator.comparingInt((Place place) -> place.waiter().priority())
                        .thenComparingLong(Place::number);

        @Override
        public int compareTo(Place other) {
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
     * @param whenRead runs a step after all data received so far, such as disconnects of callers,
     *     has been processed
     * @param share the share of each upstream's capacity that this router may use
     */
    UpstreamDispatcher(
            UpstreamTable upstreams,
            String zone,
            Map<String, String> regions,
            InstantSource clock,
            Consumer<Runnable> whenRead,
            UpstreamShare share) {
        this.upstreams = upstreams;
        this.clock = clock;
        this.whenRead = whenRead;
        this.regions = Map.copyOf(regions);
        this.plain = new UpstreamSelector(zone, PLAIN_QUEUEING, share);
        this.engines = new UpstreamSelector(zone, ENGINE_QUEUEING, share);
    }

    /** Sets the action that runs when a request is queued for a model that no upstream holds. */
    void onModelUnavailable(Runnable action) {
        starved = action;
    }

    void setEngineServices(List<ServiceSpec> engineSpecs) {
        Set<String> names = new HashSet<>();
        engineSpecs.forEach(spec -> names.add(spec.name()));
        engineServices = names;
    }

    /** Records that a caller has requested a model. */
    void recordArrival(ModelRef model) {
        rates.recordArrival(model, clock.instant());
    }

    /** Sends the request now, or queues it until an upstream has capacity. */
    void enqueue(PendingRequest waiter) {
        Instant now = clock.instant();
        if (closed(waiter, now)) {
            waiter.handleNoUpstream();
            return;
        }
        queue(waiter).add(new Place(waiter, ++counter));
        sendQueued(waiter.service());
        boolean waits = contains(waiter);
        if (waits && waiter.model().isPresent() && !held(waiter, now)) {
            starved.run();
        }
    }

    /** Removes a request whose caller has disconnected or that was answered in another way. */
    void remove(PendingRequest waiter) {
        Map<Group, TreeSet<Place>> groups = queues.get(waiter.service());
        TreeSet<Place> queue = groups == null ? null : groups.get(Group.of(waiter));
        if (queue != null) {
            queue.removeIf(place -> place.waiter() == waiter);
            if (queue.isEmpty()) {
                groups.remove(Group.of(waiter));
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
        toDrain.add(service);
        if (toDrain.size() == 1) {
            whenRead.accept(this::drainAll);
        }
    }

    private void drainAll() {
        List<String> services = List.copyOf(toDrain);
        toDrain.clear();
        services.forEach(this::drainNow);
    }

    private void drainNow(String service) {
        Map<Group, TreeSet<Place>> groups = queues.get(service);
        if (groups == null || groups.isEmpty()) {
            return;
        }
        List<TreeSet<Place>> inOrder = new ArrayList<>(groups.values());
        inOrder.removeIf(TreeSet::isEmpty);
        inOrder.sort(Comparator.comparing(TreeSet::first));
        for (TreeSet<Place> queue : inOrder) {
            drain(service, queue);
        }
        groups.values().removeIf(TreeSet::isEmpty);
    }

    /** Sends queued requests of all services and refuses those that have waited too long. */
    void tick() {
        Instant now = clock.instant();
        List<PendingRequest> late = new ArrayList<>();
        for (String service : List.copyOf(queues.keySet())) {
            sendQueued(service);
            for (TreeSet<Place> queue : queues.get(service).values()) {
                boolean closed = !queue.isEmpty() && closed(queue.first().waiter(), now);
                queue.stream()
                        .map(Place::waiter)
                        .filter(waiter -> closed || !now.isBefore(waiter.queueDeadline()))
                        .forEach(late::add);
            }
        }
        late.forEach(this::remove);
        late.forEach(PendingRequest::handleNoUpstream);
    }

    /** Returns this router's demand for models and its view of the upstreams, for the leader. */
    LoadInput.DemandReported demand(VmId self) {
        Instant now = clock.instant();
        Map<ModelRef, Double> perSecond = rates.ratesPerSecond(now);
        Map<ModelRef, LoadInput.ModelDemand> wants = new TreeMap<>();
        perSecond.forEach(
                (model, rate) ->
                        wants.put(
                                model,
                                new LoadInput.ModelDemand(model, 0, Duration.ZERO, 9, rate)));
        waitingByModel()
                .forEach((model, queue) -> wants.put(model, want(model, queue, perSecond, now)));
        Map<UpstreamId, Map<ModelRef, Integer>> running = new TreeMap<>();
        Set<UpstreamId> suspects = new HashSet<>();
        for (Upstream upstream : upstreams.all()) {
            if (!upstream.runningByModel().isEmpty()) {
                running.put(upstream.facts().id(), new TreeMap<>(upstream.runningByModel()));
            }
            if (upstream.isEjected()) {
                suspects.add(upstream.facts().id());
            }
        }
        return new LoadInput.DemandReported(self, List.copyOf(wants.values()), running, suspects);
    }

    private Map<ModelRef, TreeSet<Place>> waitingByModel() {
        Map<ModelRef, TreeSet<Place>> waiting = new TreeMap<>();
        for (Map<Group, TreeSet<Place>> groups : queues.values()) {
            groups.forEach(
                    (group, queue) ->
                            group.model()
                                    .filter(any -> !queue.isEmpty())
                                    .map(
                                            model ->
                                                    waiting.computeIfAbsent(
                                                            model, any -> new TreeSet<>()))
                                    .ifPresent(all -> all.addAll(queue)));
        }
        return waiting;
    }

    private static LoadInput.ModelDemand want(
            ModelRef model, TreeSet<Place> queue, Map<ModelRef, Double> rates, Instant now) {
        Instant oldest = now;
        int inTime = 0;
        for (Place place : queue) {
            Instant since = place.waiter().arrivedAt();
            oldest = since.isBefore(oldest) ? since : oldest;
            inTime += now.plus(COMING).isBefore(place.waiter().onTimeSendDeadline()) ? 1 : 0;
        }
        return new LoadInput.ModelDemand(
                model,
                queue.size(),
                Duration.between(oldest, now),
                queue.first().waiter().priority(),
                rates.getOrDefault(model, 0.0),
                inTime);
    }

    private void drain(String service, TreeSet<Place> queue) {
        UpstreamSelector choice = engineServices.contains(service) ? engines : plain;
        while (!queue.isEmpty()) {
            Place first = queue.first();
            PendingRequest waiter = first.waiter();
            Optional<Upstream> to =
                    choice.pick(
                            candidates(waiter),
                            waiter.model().orElse(null),
                            waiter.excludedUpstreams(),
                            clock.instant());
            if (to.isEmpty()) {
                return;
            }
            queue.remove(first);
            waiter.sendTo(to.get());
        }
    }

    // Drained zones do not reopen within a caller's time, and no upstream moves to another region.
    private boolean closed(PendingRequest waiter, Instant now) {
        boolean any = !upstreams.ofService(waiter.service()).isEmpty();
        return any && candidates(waiter).stream().allMatch(each -> each.isZoneClosed(now));
    }

    private List<Upstream> candidates(PendingRequest waiter) {
        List<Upstream> all = upstreams.ofService(waiter.service());
        return waiter.allowedRegions().isUnrestricted()
                ? all
                : all.stream()
                        .filter(each -> waiter.allowedRegions().allows(region(each)))
                        .toList();
    }

    private String region(Upstream upstream) {
        return regions.getOrDefault(upstream.facts().zone(), "");
    }

    private boolean held(PendingRequest waiter, Instant now) {
        return UpstreamSelector.anyHolds(candidates(waiter), waiter.model().orElse(null), now);
    }

    private boolean contains(PendingRequest waiter) {
        return queues
                .getOrDefault(waiter.service(), Map.of())
                .getOrDefault(Group.of(waiter), new TreeSet<>())
                .stream()
                .anyMatch(place -> place.waiter() == waiter);
    }

    private TreeSet<Place> queue(PendingRequest waiter) {
        return queues.computeIfAbsent(waiter.service(), any -> new HashMap<>())
                .computeIfAbsent(Group.of(waiter), any -> new TreeSet<>());
    }
}
