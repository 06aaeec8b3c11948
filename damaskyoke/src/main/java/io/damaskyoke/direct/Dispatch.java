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
 * Sends requests to upstreams, at once or when one can take them, the most urgent first.
 *
 * <p>The pattern: most requests find room at once; those for a model that is not loaded wait beside
 * the others without holding them up, which is why each model has a queue of its own. So do
 * requests that may be served in some regions only.
 */
final class Dispatch {
    /** Plain services keep a short queue at the upstream busy; a longer one is kept here. */
    private static final double PLAIN_QUEUEING = 1.5;

    /** A model upstream runs its whole batch at once and needs no queue. */
    private static final double ENGINE_QUEUEING = 1.0;

    /** A model needs most of a second to come from an upstream's own memory or disk. */
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

    /** What the requests of one queue have in common. */
    private record Group(Optional<ModelRef> model, AllowedRegions homes) {
        static Group of(Waiter waiter) {
            return new Group(waiter.model(), waiter.homes());
        }
    }

    /** A request's place in its queue. */
    private record Place(Waiter waiter, long number) implements Comparable<Place> {
        private static final Comparator<Place> ORDER =
                Comparator.comparingInt((Place place) -> place.waiter().urgency())
                        .thenComparingLong(Place::number);

        @Override
        public int compareTo(Place other) {
            return ORDER.compare(this, other);
        }
    }

    /**
     * For a router in this zone; {@code regions} has the region of each zone, {@code whenRead} runs
     * a step once the ends of callers that have come are known.
     */
    Dispatch(
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

    /** {@code starved} runs when a request waits for a model that no upstream holds. */
    void onStarved(Runnable action) {
        starved = action;
    }

    void configured(List<ServiceSpec> engineSpecs) {
        Set<String> names = new HashSet<>();
        engineSpecs.forEach(spec -> names.add(spec.name()));
        engineServices = names;
    }

    /** Notes that a caller has asked for a model. */
    void arrived(ModelRef model) {
        rates.arrived(model, clock.instant());
    }

    /** Sends the request now or when an upstream can take it. */
    void enqueue(Waiter waiter) {
        Instant now = clock.instant();
        if (closed(waiter, now)) {
            waiter.waitedInVain();
            return;
        }
        queue(waiter).add(new Place(waiter, ++counter));
        drain(waiter.service());
        boolean waits = contains(waiter);
        if (waits && waiter.model().isPresent() && !held(waiter, now)) {
            starved.run();
        }
    }

    /** Forgets a request, whose caller has gone or which was answered otherwise. */
    void forget(Waiter waiter) {
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
     * Something has changed at the service's upstreams: sends what can be sent.
     *
     * <p>Answers and news that free a place are read together with the ends of callers, in any
     * order. Sent at once, a request might go to an upstream whose caller's end is read next.
     */
    void drain(String service) {
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

    /** Sends what can be sent at all services, and refuses what has waited long enough. */
    void tick() {
        Instant now = clock.instant();
        List<Waiter> late = new ArrayList<>();
        for (String service : List.copyOf(queues.keySet())) {
            drain(service);
            for (TreeSet<Place> queue : queues.get(service).values()) {
                boolean closed = !queue.isEmpty() && closed(queue.first().waiter(), now);
                queue.stream()
                        .map(Place::waiter)
                        .filter(waiter -> closed || !now.isBefore(waiter.until()))
                        .forEach(late::add);
            }
        }
        late.forEach(this::forget);
        late.forEach(Waiter::waitedInVain);
    }

    /** What this router needs and sees, for the leader. */
    LoadInput.DemandReported demand(VmId self) {
        Instant now = clock.instant();
        Map<ModelRef, Double> perSecond = rates.all(now);
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
            Instant since = place.waiter().since();
            oldest = since.isBefore(oldest) ? since : oldest;
            inTime += now.plus(COMING).isBefore(place.waiter().inTimeUntil()) ? 1 : 0;
        }
        return new LoadInput.ModelDemand(
                model,
                queue.size(),
                Duration.between(oldest, now),
                queue.first().waiter().urgency(),
                rates.getOrDefault(model, 0.0),
                inTime);
    }

    private void drain(String service, TreeSet<Place> queue) {
        UpstreamSelector choice = engineServices.contains(service) ? engines : plain;
        while (!queue.isEmpty()) {
            Place first = queue.first();
            Waiter waiter = first.waiter();
            Optional<Upstream> to =
                    choice.pick(
                            candidates(waiter),
                            waiter.model().orElse(null),
                            waiter.tried(),
                            clock.instant());
            if (to.isEmpty()) {
                return;
            }
            queue.remove(first);
            waiter.sendTo(to.get());
        }
    }

    // Drained zones are not back within a caller's time, and no upstream moves to another region.
    private boolean closed(Waiter waiter, Instant now) {
        boolean any = !upstreams.ofService(waiter.service()).isEmpty();
        return any && candidates(waiter).stream().allMatch(each -> each.isZoneClosed(now));
    }

    private List<Upstream> candidates(Waiter waiter) {
        List<Upstream> all = upstreams.ofService(waiter.service());
        return waiter.homes().isUnrestricted()
                ? all
                : all.stream().filter(each -> waiter.homes().allows(region(each))).toList();
    }

    private String region(Upstream upstream) {
        return regions.getOrDefault(upstream.facts().zone(), "");
    }

    private boolean held(Waiter waiter, Instant now) {
        return UpstreamSelector.anyHolds(candidates(waiter), waiter.model().orElse(null), now);
    }

    private boolean contains(Waiter waiter) {
        return queues
                .getOrDefault(waiter.service(), Map.of())
                .getOrDefault(Group.of(waiter), new TreeSet<>())
                .stream()
                .anyMatch(place -> place.waiter() == waiter);
    }

    private TreeSet<Place> queue(Waiter waiter) {
        return queues.computeIfAbsent(waiter.service(), any -> new HashMap<>())
                .computeIfAbsent(Group.of(waiter), any -> new TreeSet<>());
    }
}
