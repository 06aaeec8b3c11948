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

/** The requests under way, and what they share. Belongs to the traffic thread. */
final class Flows {
    private final Dialect dialect;
    private final HttpClient client;
    private final Dispatch dispatch;
    private final InstantSource clock;
    private final RetryBounds bounds;
    private final SlidingMaximum routers;
    private final PoisonRequestDetector crashes;
    private final LostUpstreams lost;
    private final DeclaredLimits limits;
    private final DecisionLog log;
    private final UnservedModels unserved = new UnservedModels();
    private final Set<Flow> open = new LinkedHashSet<>();
    private final Map<String, SharedRetryBudget> budgets = new HashMap<>();

    /**
     * What all routers together may send a second time to a service.
     *
     * @param window over which it is counted
     * @param ratio part of the requests
     * @param extra beyond that part
     */
    record RetryBounds(Duration window, double ratio, double extra) {}

    Flows(
            Dialect dialect,
            HttpClient client,
            Dispatch dispatch,
            InstantSource clock,
            RetryBounds bounds,
            IntSupplier routers,
            PoisonRequestDetector crashes,
            LostUpstreams lost,
            DeclaredLimits limits) {
        this.dialect = dialect;
        this.client = client;
        this.dispatch = dispatch;
        this.clock = clock;
        this.bounds = bounds;
        this.routers = new SlidingMaximum(routers, clock, bounds.window());
        this.crashes = crashes;
        this.lost = lost;
        this.limits = limits;
        this.log = new DecisionLog(clock);
    }

    Dialect dialect() {
        return dialect;
    }

    HttpClient client() {
        return client;
    }

    Dispatch dispatch() {
        return dispatch;
    }

    PoisonRequestDetector crashes() {
        return crashes;
    }

    LostUpstreams lost() {
        return lost;
    }

    DeclaredLimits limits() {
        return limits;
    }

    UnservedModels unserved() {
        return unserved;
    }

    Instant now() {
        return clock.instant();
    }

    void begin(Flow flow) {
        open.add(flow);
        budget(flow.service()).recordRequest(now());
        flow.start();
    }

    /** An upstream of the service has room, or is known to have none. */
    void roomAt(String service) {
        dispatch.drain(service);
    }

    boolean takeRetry(String service) {
        return budget(service).takeRetry(routers.value(), now());
    }

    boolean retryLeft(String service) {
        return budget(service).hasRetryLeft(routers.value(), now());
    }

    DecisionLog log() {
        return log;
    }

    void ended(Flow flow, String outcome) {
        open.remove(flow);
        log.ended(flow, outcome);
    }

    /** Looks at the time of every request; called a few times a second. */
    void check() {
        Instant now = now();
        routers.value();
        for (Flow flow : new ArrayList<>(open)) {
            if (!flow.over()) {
                flow.check(now);
            }
        }
    }

    /**
     * This router stops: what waits is refused, and what runs is ended if there is no more time.
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
