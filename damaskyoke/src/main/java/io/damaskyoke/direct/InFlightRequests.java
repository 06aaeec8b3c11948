package io.damaskyoke.direct;

import io.damaskyoke.control.routing.SharedRetryBudget;
import io.damaskyoke.direct.crashes.PoisonRequestDetector;
import io.damaskyoke.http.BodyMemory;
import io.damaskyoke.http.HttpClient;
import io.damaskyoke.settings.DirectSettings;
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
    private final UpstreamDispatcher dispatcher;
    private final InstantSource clock;
    private final InstantSource steadyClock;
    private final RetryBounds retryBounds;
    private final SlidingMaximum routerCount;
    private final PoisonRequestDetector crashes;
    private final LostUpstreamAnnouncer lostUpstreams;
    private final UpstreamStatementHandler statements;
    private final DirectSettings.AnswerLimits answerLimits;
    private final BodyMemory bodies;
    private final RequestLog requestLog;
    private final UnservedModels unservedModels = new UnservedModels();
    private final Set<ForwardedRequest> requests = new LinkedHashSet<>();
    private final Map<String, SharedRetryBudget> retryBudgets = new HashMap<>();
    private Instant closesAt = Instant.MAX;

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
            UpstreamDispatcher dispatcher,
            InstantSource clock,
            InstantSource steadyClock,
            RetryBounds retryBounds,
            IntSupplier routerCount,
            PoisonRequestDetector crashes,
            LostUpstreamAnnouncer lostUpstreams,
            UpstreamStatementHandler statements,
            DirectSettings.AnswerLimits answerLimits,
            BodyMemory bodies) {
        this.dialect = dialect;
        this.client = client;
        this.dispatcher = dispatcher;
        this.clock = clock;
        this.steadyClock = steadyClock;
        this.retryBounds = retryBounds;
        this.routerCount = new SlidingMaximum(routerCount, steadyClock, retryBounds.window());
        this.crashes = crashes;
        this.lostUpstreams = lostUpstreams;
        this.statements = statements;
        this.answerLimits = answerLimits;
        this.bodies = bodies;
        this.requestLog = new RequestLog(clock);
    }

    Dialect dialect() {
        return dialect;
    }

    HttpClient client() {
        return client;
    }

    UpstreamDispatcher dispatcher() {
        return dispatcher;
    }

    PoisonRequestDetector crashes() {
        return crashes;
    }

    LostUpstreamAnnouncer lostUpstreams() {
        return lostUpstreams;
    }

    UpstreamStatementHandler statements() {
        return statements;
    }

    DirectSettings.AnswerLimits answerLimits() {
        return answerLimits;
    }

    BodyMemory bodies() {
        return bodies;
    }

    UnservedModels unservedModels() {
        return unservedModels;
    }

    Instant now() {
        return clock.instant();
    }

    void start(ForwardedRequest request) {
        requests.add(request);
        retryBudget(request.service()).recordRequest(steadyClock.instant());
        request.start();
    }

    /**
     * Sends queued requests of the service, as the capacity of one of its upstreams has changed.
     */
    void sendQueued(String service) {
        dispatcher.sendQueued(service);
    }

    boolean takeRetry(String service) {
        return retryBudget(service).takeRetry(routerCount.value(), steadyClock.instant());
    }

    boolean hasRetryLeft(String service) {
        return retryBudget(service).hasRetryLeft(routerCount.value(), steadyClock.instant());
    }

    RequestLog log() {
        return requestLog;
    }

    void recordFinished(ForwardedRequest request, String outcome) {
        requests.remove(request);
        requestLog.logFinished(request, outcome);
    }

    /** Enforces the deadlines and timeouts of all requests; called a few times a second. */
    void enforceTimeouts() {
        Instant now = now();
        routerCount.value();
        for (ForwardedRequest request : new ArrayList<>(requests)) {
            if (!request.isFinished()) {
                request.enforceTimeouts(now);
            }
        }
    }

    /**
     * Records when this router, which is shutting down, closes its connections. From now on no
     * request is passed on that may take longer, and those that wait to be passed on are refused.
     */
    void closesAt(Instant at) {
        closesAt = at;
        new ArrayList<>(requests).forEach(ForwardedRequest::refuseIfCutByStop);
    }

    /** Returns true if this router will have closed its connections by then. */
    boolean isClosedBy(Instant at) {
        return at.isAfter(closesAt);
    }

    /**
     * Handles the shutdown of this router: queued requests are refused, and running ones end if
     * {@code noMoreTime} is set.
     */
    void stop(boolean noMoreTime) {
        new ArrayList<>(requests).forEach(request -> request.stop(noMoreTime));
    }

    int size() {
        return requests.size();
    }

    private SharedRetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(
                service,
                any ->
                        new SharedRetryBudget(
                                retryBounds.window(), retryBounds.ratio(), retryBounds.extra()));
    }
}
