package io.damaskyoke.direct;

import io.damaskyoke.control.cold.UpstreamShare;
import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.direct.ServiceSpec;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamDeparture;
import io.damaskyoke.control.upstreams.UpstreamSelector;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.control.waiting.Turn;
import io.damaskyoke.control.waiting.TurnOrder;
import io.damaskyoke.control.waiting.WaitingQueue;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Queues requests and sends each to an upstream as soon as one has capacity, in the service's
 * {@link TurnOrder}. Where the models of a service do not fit into its upstreams together, requests
 * whose model is not expected in time are refused at arrival.
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

    private final UpstreamTable upstreams;
    private final InstantSource clock;
    private final Consumer<Runnable> afterReads;
    private final UpstreamSelector plainSelector;
    private final UpstreamSelector engineSelector;
    private final ArrivalRates arrivalRates = new ArrivalRates();
    private final Map<String, String> regions;
    private final Map<String, ServiceQueues> queues = new HashMap<>();
    private final ArrivalCheck arrivalCheck = new ArrivalCheck();
    private final PauseCheck pauseCheck;
    private final Set<String> servicesToSend = new LinkedHashSet<>();
    private Set<String> engineServices = Set.of();
    private Runnable modelUnavailable = () -> {};
    private LongConsumer waited = any -> {};
    private boolean fairAmongWorkspaces;
    private long lastSequence;

    /** The key of a queue: what its requests have in common. */
    private record QueueKey(Optional<ModelRef> model, AllowedRegions allowedRegions) {
        static QueueKey of(PendingRequest request) {
            return new QueueKey(request.model(), request.allowedRegions());
        }
    }

    /** The queues of a service, which share the order of turns. */
    private static final class ServiceQueues {
        private final Map<QueueKey, WaitingQueue<PendingRequest>> byKey = new HashMap<>();
        private TurnOrder order;

        ServiceQueues(TurnOrder order) {
            this.order = order;
        }

        void reorder(TurnOrder given) {
            order = given;
            byKey.replaceAll((key, queue) -> queue.reordered(given));
        }
    }

    /** The queue that is to be asked next, and the request that was its next when it was added. */
    private record QueueTurn(WaitingQueue<PendingRequest> queue, Turn<PendingRequest> turn)
            implements Comparable<QueueTurn> {
        @Override
        public int compareTo(QueueTurn other) {
            return turn.compareTo(other.turn);
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
        this.pauseCheck = new PauseCheck(upstreams, arrivalCheck, new SplittableRandom());
        this.clock = clock;
        this.afterReads = afterReads;
        this.regions = Map.copyOf(regions);
        this.plainSelector = new UpstreamSelector(zone, PLAIN_REQUESTS_PER_SLOT, share);
        this.engineSelector = new UpstreamSelector(zone, ENGINE_REQUESTS_PER_SLOT, share);
    }

    /** Returns what this router knows of the upstream's departure; empty if it stays. */
    Optional<UpstreamDeparture> departureOf(Upstream upstream) {
        return upstreams.departureOf(upstream.facts().id());
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
        arrivalCheck.setEngineServices(engineSpecs);
    }

    /** Sets the action that runs for each request that is refused at arrival. */
    void onRefusedAtArrival(Consumer<ArrivalCheck.Reason> action) {
        arrivalCheck.onRefused(action);
    }

    /** Sets the action that gets the wait, in milliseconds, of each request not sent at once. */
    void onWaited(LongConsumer action) {
        waited = action;
    }

    /** Sets whether workspaces share the upstreams fairly, or waiting requests go by arrival. */
    void setFairAmongWorkspaces(boolean fair) {
        if (fairAmongWorkspaces != fair) {
            fairAmongWorkspaces = fair;
            queues.values().forEach(service -> service.reorder(newOrder()));
        }
    }

    private TurnOrder newOrder() {
        return fairAmongWorkspaces ? TurnOrder.fair() : TurnOrder.byArrival();
    }

    /** Records that a caller has requested a model. */
    void recordArrival(ModelRef model) {
        arrivalRates.recordArrival(model, clock.instant());
    }

    /**
     * Takes a request that has just arrived: sends it now, queues it, or refuses it if its model is
     * not expected in time.
     */
    void arrive(PendingRequest request) {
        Instant now = clock.instant();
        boolean held = isModelHeld(request, now);
        Optional<Duration> retryAfter = held ? Optional.empty() : refusal(request, now);
        if (retryAfter.isPresent()) {
            request.refuseAtArrival(retryAfter.get());
            return;
        }
        if (held) {
            request.model().ifPresent(arrivalCheck::recordHeld);
        }
        enqueue(request, held, now);
    }

    /** Sends a request that has arrived earlier, such as a retry, or queues it. */
    void enqueue(PendingRequest request) {
        Instant now = clock.instant();
        enqueue(request, isModelHeld(request, now), now);
    }

    private void enqueue(PendingRequest request, boolean held, Instant now) {
        if (allZonesClosed(request, now)) {
            request.handleNoUpstream();
            return;
        }
        Optional<Duration> pause = pauseRefusal(request, now);
        if (pause.isPresent()) {
            request.refusePaused(pause.get());
            return;
        }
        ServiceQueues service =
                queues.computeIfAbsent(request.service(), any -> new ServiceQueues(newOrder()));
        service.byKey
                .computeIfAbsent(QueueKey.of(request), any -> new WaitingQueue<>(service.order))
                .add(request, ++lastSequence, now);
        sendQueued(request.service());
        if (!held) {
            modelUnavailable.run();
        }
    }

    private Optional<Duration> refusal(PendingRequest request, Instant now) {
        if (!isOversubscribed(request.service()) || allZonesClosed(request, now)) {
            return Optional.empty();
        }
        ServiceQueues service = queues.get(request.service());
        WaitingQueue<PendingRequest> queue =
                service == null ? null : service.byKey.get(QueueKey.of(request));
        return arrivalCheck.refusal(
                request,
                candidates(request),
                Optional.ofNullable(queue).flatMap(WaitingQueue::oldestQueuedAt),
                now);
    }

    /**
     * Returns when to retry a request that is not worth queueing, as all upstreams that could serve
     * it are paused for too long; empty if it is.
     */
    Optional<Duration> pauseRefusal(PendingRequest request) {
        return pauseRefusal(request, clock.instant());
    }

    private Optional<Duration> pauseRefusal(PendingRequest request, Instant now) {
        return servableFrom(request, now)
                .filter(from -> from.isAfter(request.queueDeadline()))
                .map(from -> pauseCheck.retryAfter(from, now));
    }

    private Optional<Instant> servableFrom(PendingRequest request, Instant now) {
        return pauseCheck.servableFrom(
                request.service(), request.model(), candidates(request), now);
    }

    /** Returns true if the models of the service do not fit into its upstreams together. */
    private boolean isOversubscribed(String service) {
        return arrivalCheck.appliesTo(service, upstreams.ofService(service).size());
    }

    /** Removes a request whose caller has disconnected or that was answered in another way. */
    void remove(PendingRequest request) {
        ServiceQueues service = queues.get(request.service());
        QueueKey key = QueueKey.of(request);
        WaitingQueue<PendingRequest> queue = service == null ? null : service.byKey.get(key);
        if (queue != null && queue.remove(request) && queue.isEmpty()) {
            service.byKey.remove(key);
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
        ServiceQueues waiting = queues.get(service);
        if (waiting == null || waiting.byKey.isEmpty()) {
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
        ServiceQueues waiting = queues.get(service);
        if (waiting == null || waiting.byKey.isEmpty()) {
            return;
        }
        Instant now = clock.instant();
        if (waiting.byKey.size() == 1) {
            sendQueue(service, waiting.order, waiting.byKey.values().iterator().next(), now);
        } else {
            sendInTurn(service, waiting, now);
        }
        waiting.byKey.values().removeIf(WaitingQueue::isEmpty);
    }

    private void sendQueue(
            String service, TurnOrder order, WaitingQueue<PendingRequest> queue, Instant now) {
        while (!queue.isEmpty()) {
            if (!send(service, order, queue, queue.next(now), now)) {
                return;
            }
        }
    }

    // A turn only moves the turns of its workspace back. So the queue that is polled has the next
    // turn of all unless that turn has moved back since it was added.
    private void sendInTurn(String service, ServiceQueues waiting, Instant now) {
        PriorityQueue<QueueTurn> turns = new PriorityQueue<>(waiting.byKey.size());
        for (WaitingQueue<PendingRequest> queue : waiting.byKey.values()) {
            if (!queue.isEmpty()) {
                turns.add(new QueueTurn(queue, queue.next(now)));
            }
        }
        while (!turns.isEmpty()) {
            QueueTurn polled = turns.poll();
            Turn<PendingRequest> next = polled.queue().next(now);
            if (next == null) {
                continue;
            }
            if (waiting.order.isFair() && next.compareTo(polled.turn()) > 0) {
                turns.add(new QueueTurn(polled.queue(), next));
            } else if (send(service, waiting.order, polled.queue(), next, now)) {
                addAfterTurn(turns, waiting.order, polled, now);
            }
        }
    }

    // By arrival, the queue whose first request came first sends all that it can.
    private static void addAfterTurn(
            PriorityQueue<QueueTurn> turns, TurnOrder order, QueueTurn served, Instant now) {
        Turn<PendingRequest> next = order.isFair() ? served.queue().next(now) : served.turn();
        if (next != null) {
            turns.add(new QueueTurn(served.queue(), next));
        }
    }

    /** Sends queued requests of all services and refuses those that have waited too long. */
    void tick() {
        Instant now = clock.instant();
        arrivalCheck.tick(now);
        List<PendingRequest> expired = new ArrayList<>();
        for (String service : List.copyOf(queues.keySet())) {
            sendQueued(service);
            for (WaitingQueue<PendingRequest> queue : queues.get(service).byKey.values()) {
                Turn<PendingRequest> next = queue.next(now);
                boolean unservable = next != null && allZonesClosed(next.request(), now);
                queue.forEach(
                        request -> {
                            if (unservable || !now.isBefore(request.queueDeadline())) {
                                expired.add(request);
                            }
                        });
            }
        }
        expired.forEach(this::remove);
        expired.forEach(request -> recordExpired(request, now));
        expired.forEach(PendingRequest::handleNoUpstream);
        if (upstreams.mayBePaused(now)) {
            refusePaused(now);
        }
    }

    // All requests of a queue can be served by the same upstreams.
    private void refusePaused(Instant now) {
        Map<PendingRequest, Duration> refused = new LinkedHashMap<>();
        for (ServiceQueues service : queues.values()) {
            for (WaitingQueue<PendingRequest> queue : service.byKey.values()) {
                Turn<PendingRequest> next = queue.next(now);
                Optional<Instant> from =
                        next == null ? Optional.empty() : servableFrom(next.request(), now);
                from.ifPresent(at -> addLate(queue, at, now, refused));
            }
        }
        refused.keySet().forEach(this::remove);
        refused.forEach(PendingRequest::refusePaused);
    }

    private void addLate(
            WaitingQueue<PendingRequest> queue,
            Instant servableFrom,
            Instant now,
            Map<PendingRequest, Duration> late) {
        queue.forEach(
                request -> {
                    if (servableFrom.isAfter(request.queueDeadline())) {
                        late.put(request, pauseCheck.retryAfter(servableFrom, now));
                    }
                });
    }

    /** Returns this router's demand for models and its view of the upstreams, for the leader. */
    LoadInput.DemandReported demand(VmId self) {
        Instant now = clock.instant();
        return new DemandSummary(arrivalRates.ratesPerSecond(now), now)
                .report(self, queuedByModel(), upstreams.all());
    }

    private Map<ModelRef, List<PendingRequest>> queuedByModel() {
        Map<ModelRef, List<PendingRequest>> queued = new TreeMap<>();
        for (ServiceQueues service : queues.values()) {
            service.byKey.forEach((key, queue) -> addQueued(key.model(), queue, queued));
        }
        return queued;
    }

    private static void addQueued(
            Optional<ModelRef> model,
            WaitingQueue<PendingRequest> queue,
            Map<ModelRef, List<PendingRequest>> queued) {
        if (model.isPresent() && !queue.isEmpty()) {
            List<PendingRequest> all =
                    queued.computeIfAbsent(model.get(), any -> new ArrayList<>());
            queue.forEach(all::add);
        }
    }

    private boolean send(
            String service,
            TurnOrder order,
            WaitingQueue<PendingRequest> queue,
            Turn<PendingRequest> next,
            Instant now) {
        UpstreamSelector selector =
                engineServices.contains(service) ? engineSelector : plainSelector;
        PendingRequest request = next.request();
        Optional<Upstream> upstream =
                selector.pick(
                        candidates(request),
                        request.model().orElse(null),
                        request.tokenUsage(),
                        request.excludedUpstreams(),
                        clock.instant());
        if (upstream.isEmpty()) {
            return false;
        }
        queue.remove(request);
        recordTurn(order, next, now);
        request.sendTo(upstream.get());
        return true;
    }

    // A request that is sent at once takes no turn from another, so it is not recorded.
    private void recordTurn(TurnOrder order, Turn<PendingRequest> turn, Instant now) {
        PendingRequest request = turn.request();
        long millis = now.toEpochMilli() - turn.queuedAt().toEpochMilli();
        if (millis <= 0) {
            return;
        }
        order.recordTurn(request);
        waited.accept(millis);
        if (request.model().isPresent() && isOversubscribed(request.service())) {
            arrivalCheck.recordWait(request.model().get(), Duration.ofMillis(millis), now);
        }
    }

    private void recordExpired(PendingRequest request, Instant now) {
        if (request.model().isPresent() && isOversubscribed(request.service())) {
            Instant end = now.isBefore(request.queueDeadline()) ? now : request.queueDeadline();
            Duration wait = Duration.between(request.arrivedAt(), end);
            arrivalCheck.recordWait(request.model().get(), wait, now);
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
        return request.model().isEmpty()
                || UpstreamSelector.anyHolds(candidates(request), request.model().get(), now);
    }
}
