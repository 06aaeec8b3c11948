package io.damaskyoke.direct;

import io.damaskyoke.control.routing.SharedRetryBudget;
import io.damaskyoke.http.HttpClient;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;

/** Keeps the requests in progress and the services they share. Traffic thread only. */
final class InFlightRequests {
    private final Dialect dialect;
    private final HttpClient client;
    private final UpstreamDispatcher dispatch;
    private final InstantSource clock;
    private final RetryBounds bounds;
    private final SlidingMaximum routers;
    private final CrashWatch crashes;
    private final LostUpstreams lost;
    private final LimitedUpstreams limits;
    private final RequestLog log;
    private final UnservedModels unserved = new UnservedModels();
    private final Set<ForwardedRequest> open = new LinkedHashSet<>();
    private final Map<String, SharedRetryBudget> budgets = new HashMap<>();

    /**
     * The limits of the retries that all routers together may send to a service.
     *
     * @param window the time over which requests and retries are counted
     * @param ratio retries allowed for each request
     * @param extra retries allowed beyond that ratio
     */
    record RetryBounds(Duration window, double ratio, double extra) {}

    InFlightRequests(
            Dialect dialect,
            HttpClient client,
            UpstreamDispatcher dispatch,
            InstantSource clock,
            RetryBounds bounds,
            IntSupplier routers,
            CrashWatch crashes,
            LostUpstreams lost,
            LimitedUpstreams limits) {
        this.dialect = dialect;
        this.client = client;
        this.dispatch = dispatch;
        this.clock = clock;
        this.bounds = bounds;
        this.routers = new SlidingMaximum(routers, clock, bounds.window());
        this.crashes = crashes;
        this.lost = lost;
        this.limits = limits;
        this.log = new RequestLog(clock);
    }

    Dialect dialect() {
        return dialect;
    }

    HttpClient client() {
        return client;
    }

    UpstreamDispatcher dispatch() {
        return dispatch;
    }

    CrashWatch crashes() {
        return crashes;
    }

    LostUpstreams lostUpstreams() {
        return lost;
    }

    LimitedUpstreams limitedUpstreams() {
        return limits;
    }

    UnservedModels unservedModels() {
        return unserved;
    }

    Instant now() {
        return clock.instant();
    }

    void start(ForwardedRequest flow) {
        open.add(flow);
        budget(flow.service()).recordRequest(now());
        flow.start();
    }

    /**
     * Sends queued requests of the service, as the capacity of one of its upstreams has changed.
     */
    void sendQueued(String service) {
        dispatch.sendQueued(service);
    }

    boolean takeRetry(String service) {
        return budget(service).takeRetry(routers.value(), now());
    }

    boolean hasRetryLeft(String service) {
        return budget(service).hasRetryLeft(routers.value(), now());
    }

    RequestLog log() {
        return log;
    }

    void recordFinished(ForwardedRequest flow, String outcome) {
        open.remove(flow);
        log.logFinished(flow, outcome);
    }

    /** Enforces the deadlines and timeouts of all requests; called a few times a second. */
    void enforceTimeouts() {
        Instant now = now();
        routers.value();
        for (ForwardedRequest flow : new ArrayList<>(open)) {
            if (!flow.isFinished()) {
                flow.enforceTimeouts(now);
            }
        }
    }

    /**
     * Handles the shutdown of this router: queued requests are refused, and running ones end if
     * {@code noMoreTime} is set.
     */
    void stop(boolean noMoreTime) {
        new ArrayList<>(open).forEach(flow -> flow.stop(noMoreTime));
    }

    int size() {
        return open.size();
    }

    private SharedRetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                any -> new SharedRetryBudget(bounds.window(), bounds.ratio(), bounds.extra()));
    }
}
