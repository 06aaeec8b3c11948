package io.damaskyoke.control.serving;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.control.waiting.FairScheduler;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * State machine of one agent's requests: it queues them and decides which one runs next at the
 * upstream and which are refused.
 *
 * <p>Every request leads to exactly one {@code Run} or {@code Refuse}, at the latest at the first
 * tick after its deadline, unless it is cancelled before. At most {@code maxRunning} requests are
 * at the upstream at once. Workspaces share the upstream by weight, so a workspace that sends too
 * many requests mostly delays its own.
 */
public final class ServingMachine implements StateMachine<ServingInput, ServingAction> {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final double NANOS_PER_SECOND = 1e9;

    private final int maxRunning;
    private final int maxWaiting;
    private final Map<ExchangeId, QueuedRequest> waiting = new LinkedHashMap<>();
    private final Map<ExchangeId, RunningRequest> running = new HashMap<>();
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final FairScheduler<WorkspaceId> scheduler;
    private boolean draining;

    private ServingMachine(int maxRunning, int maxWaiting, ToDoubleFunction<WorkspaceId> weight) {
        this.maxRunning = maxRunning;
        this.maxWaiting = maxWaiting;
        this.scheduler = new FairScheduler<>(weight);
    }

    /**
     * Creates a machine in which all workspaces have the same weight.
     *
     * @param maxRunning maximum number of concurrent requests at the upstream
     * @param maxWaiting maximum number of queued requests
     */
    public static ServingMachine of(int maxRunning, int maxWaiting) {
        return of(maxRunning, maxWaiting, workspace -> 1.0);
    }

    /**
     * Creates a machine with the weights of the workspaces.
     *
     * @param maxRunning maximum number of concurrent requests at the upstream
     * @param maxWaiting maximum number of queued requests
     * @param weight a workspace's share of upstream time relative to the others
     */
    public static ServingMachine of(
            int maxRunning, int maxWaiting, ToDoubleFunction<WorkspaceId> weight) {
        if (maxRunning < 1 || maxWaiting < 1) {
            throw new IllegalArgumentException(
                    "maximum running and waiting requests must be at least 1");
        }
        return new ServingMachine(maxRunning, maxWaiting, weight);
    }

    @Override
    public List<ServingAction> on(ServingInput input, Instant now) {
        List<ServingAction> actions = new ArrayList<>();
        apply(input, now, actions);
        startRequests(now, actions);
        return actions;
    }

    /** Returns the number of requests at the upstream. */
    public int running() {
        return running.size();
    }

    /** Returns true if this request is at the upstream. */
    public boolean isRunning(ExchangeId id) {
        return running.containsKey(id);
    }

    /** Returns the number of queued requests. */
    public int waiting() {
        return waiting.size();
    }

    /** Returns true if the agent is draining and has no running or queued requests. */
    public boolean isDrained() {
        return draining && running.isEmpty() && waiting.isEmpty();
    }

    private void apply(ServingInput input, Instant now, List<ServingAction> actions) {
        if (input instanceof ServingInput.RequestArrived arrived) {
            arrive(arrived, now, actions);
        } else if (input instanceof ServingInput.ModelReady ready) {
            markReady(ready.id());
        } else if (input instanceof ServingInput.ModelUnavailable refused) {
            unavailable(refused, actions);
        } else if (input instanceof ServingInput.RunFinished finished) {
            finish(finished.id(), now, actions);
        } else if (input instanceof ServingInput.RequestCancelled cancelled) {
            cancel(cancelled.id(), actions);
        } else if (input instanceof ServingInput.DrainStarted) {
            draining = true;
        } else {
            refuseExpired(now, actions);
        }
    }

    private void arrive(
            ServingInput.RequestArrived arrived, Instant now, List<ServingAction> actions) {
        Optional<Refusal> refusal = admissionRefusal(arrived, now);
        if (refusal.isPresent()) {
            actions.add(new ServingAction.Refuse(arrived.id(), refusal.get()));
            return;
        }
        if (waiting.size() >= maxWaiting) {
            evictNewestOfLargest(actions);
        }
        waiting.put(arrived.id(), new QueuedRequest(arrived));
        arrived.model().ifPresent(model -> actions.add(acquireModel(model, arrived)));
    }

    private Optional<Refusal> admissionRefusal(ServingInput.RequestArrived arrived, Instant now) {
        if (draining) {
            return refusal(
                    RefusalCode.STOPPING, "this agent is stopping and accepts no new requests");
        }
        if (!now.isBefore(arrived.deadline())) {
            return refusal(RefusalCode.DEADLINE_EXCEEDED, "the deadline has passed");
        }
        if (waiting.size() >= maxWaiting && !canEvictFor(arrived)) {
            return refusal(RefusalCode.OVERLOADED, "the queue of this agent is full");
        }
        return deadlineRefusal(arrived, now);
    }

    // One workspace that fills the queue would cause refusals for all others, even within their
    // rate limits. So a request of another workspace replaces the newest one of the workspace that
    // has the most queued requests.
    private boolean canEvictFor(ServingInput.RequestArrived arrived) {
        return queuedOf(workspaceWithMostQueued()) > queuedOf(arrived.workspace()) + 1;
    }

    private void evictNewestOfLargest(List<ServingAction> actions) {
        WorkspaceId largest = workspaceWithMostQueued();
        QueuedRequest last = null;
        for (QueuedRequest request : waiting.values()) {
            if (request.arrived.workspace().equals(largest)) {
                last = request;
            }
        }
        waiting.remove(last.arrived.id());
        releaseModelOf(last, actions);
        Refusal full = refusal(RefusalCode.OVERLOADED, "the queue of this agent is full").get();
        actions.add(new ServingAction.Refuse(last.arrived.id(), full));
    }

    private WorkspaceId workspaceWithMostQueued() {
        Map<WorkspaceId, Integer> queuedByWorkspace = new LinkedHashMap<>();
        waiting.values()
                .forEach(
                        each -> queuedByWorkspace.merge(each.arrived.workspace(), 1, Integer::sum));
        return queuedByWorkspace.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .get()
                .getKey();
    }

    private long queuedOf(WorkspaceId workspace) {
        return waiting.values().stream()
                .filter(request -> request.arrived.workspace().equals(workspace))
                .count();
    }

    // The requests ahead are those of the same workspace and, for each of them and for the new one,
    // one of every other workspace. This is less than the whole queue if another workspace filled
    // it.
    private Optional<Refusal> deadlineRefusal(ServingInput.RequestArrived arrived, Instant now) {
        Optional<Double> own = serviceTimes.averageSeconds(arrived.model());
        if (own.isEmpty() || running.size() < maxRunning) {
            return Optional.empty();
        }
        double wait = secondsAhead(arrived.workspace()) / maxRunning;
        double secondsLeft = Duration.between(now, arrived.deadline()).toMillis() / 1000.0;
        if (wait + own.get() <= secondsLeft) {
            return Optional.empty();
        }
        long retryMillis = (long) Math.ceil(1000 * Math.max(wait + own.get() - secondsLeft, 0));
        Refusal refusal =
                Refusal.notRun(
                        RefusalCode.DEADLINE_UNREACHABLE,
                        "the deadline can't be met with the requests in the queue");
        return Optional.of(refusal.retryAfter(Duration.ofMillis(retryMillis)));
    }

    private double secondsAhead(WorkspaceId workspace) {
        long position = queuedOf(workspace) + 1;
        Map<WorkspaceId, Integer> counted = new HashMap<>();
        double seconds = 0;
        for (QueuedRequest request : waiting.values()) {
            int before = counted.merge(request.arrived.workspace(), 1, Integer::sum);
            if (request.ready && before <= position) {
                seconds += serviceTimes.estimateSeconds(request.arrived.model());
            }
        }
        return seconds;
    }

    private static Optional<Refusal> refusal(RefusalCode code, String message) {
        return Optional.of(Refusal.notRun(code, message).retryAfter(RETRY_AFTER));
    }

    private void markReady(ExchangeId id) {
        QueuedRequest request = waiting.get(id);
        if (request != null) {
            request.ready = true;
        }
    }

    private void unavailable(ServingInput.ModelUnavailable refused, List<ServingAction> actions) {
        if (waiting.remove(refused.id()) != null) {
            actions.add(new ServingAction.Refuse(refused.id(), refused.refusal()));
        }
    }

    private void finish(ExchangeId id, Instant now, List<ServingAction> actions) {
        RunningRequest finished = running.remove(id);
        if (finished != null) {
            double seconds =
                    Duration.between(finished.startedAt(), now).toNanos() / NANOS_PER_SECOND;
            serviceTimes.record(finished.model(), seconds);
            finished.model().ifPresent(name -> actions.add(new ServingAction.ReleaseModel(name)));
        }
    }

    private void cancel(ExchangeId id, List<ServingAction> actions) {
        QueuedRequest request = waiting.remove(id);
        if (request != null) {
            releaseModelOf(request, actions);
        }
    }

    private void refuseExpired(Instant now, List<ServingAction> actions) {
        Refusal late =
                Refusal.notRun(
                        RefusalCode.DEADLINE_EXCEEDED,
                        "the deadline passed while the request was queued");
        Iterator<QueuedRequest> all = waiting.values().iterator();
        while (all.hasNext()) {
            QueuedRequest request = all.next();
            if (!now.isBefore(request.arrived.deadline())) {
                all.remove();
                releaseModelOf(request, actions);
                actions.add(new ServingAction.Refuse(request.arrived.id(), late));
            }
        }
    }

    private void startRequests(Instant now, List<ServingAction> actions) {
        while (running.size() < maxRunning) {
            Optional<QueuedRequest> next = nextRequest();
            if (next.isEmpty()) {
                return;
            }
            ServingInput.RequestArrived request = next.get().arrived;
            waiting.remove(request.id());
            scheduler.recordRun(request.workspace(), serviceTimes.estimateSeconds(request.model()));
            running.put(request.id(), new RunningRequest(request.model(), now));
            actions.add(new ServingAction.Run(request.id()));
        }
    }

    /** Returns the ready request with the earliest deadline of the workspace that is next. */
    private Optional<QueuedRequest> nextRequest() {
        return waiting.values().stream()
                .filter(request -> request.ready)
                .min(
                        Comparator.comparingDouble(
                                        (QueuedRequest each) ->
                                                scheduler.nextStart(each.arrived.workspace()))
                                .thenComparing(each -> each.arrived.deadline()));
    }

    private record RunningRequest(Optional<ModelName> model, Instant startedAt) {}

    private static void releaseModelOf(QueuedRequest request, List<ServingAction> actions) {
        ExchangeId id = request.arrived.id();
        request.arrived
                .model()
                .map(
                        model ->
                                request.ready
                                        ? new ServingAction.ReleaseModel(model)
                                        : new ServingAction.CancelAcquire(id, model))
                .ifPresent(actions::add);
    }

    private static ServingAction acquireModel(
            ModelName model, ServingInput.RequestArrived request) {
        return new ServingAction.AcquireModel(
                request.id(), model, request.workspace(), request.deadline());
    }

    /** A queued request; one for a plain service is ready from the start. */
    private static final class QueuedRequest {
        private final ServingInput.RequestArrived arrived;
        private boolean ready;

        QueuedRequest(ServingInput.RequestArrived arrived) {
            this.arrived = arrived;
            this.ready = arrived.model().isEmpty();
        }
    }
}
