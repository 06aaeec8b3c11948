package io.damaskyoke.direct;

import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.direct.Route;
import io.damaskyoke.control.direct.WorkspaceSpec;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.http.HttpCall;
import io.damaskyoke.http.HttpHandler;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.rates.RateAdmission;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;

/**
 * Admits callers' requests by route, caller key and rate limit, in this order. The answer to a
 * request that is refused here says that the request has not run.
 */
final class Ingress implements HttpHandler {
    private static final int LOWEST_PRIORITY = 9;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Dialect dialect;
    private final ConfigurationHolder configuration;
    private final OperatorSettingsFollower operatorFollower;
    private final DenialConfirmation denialConfirmation;
    private final RateAdmission rates;
    private final InFlightRequests inFlight;
    private final Incarnation self;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final Metrics metrics;
    private final StartupCallQueue startupQueue;
    private long exchangeCounter;

    Ingress(
            Dialect dialect,
            ConfigurationHolder configuration,
            OperatorSettingsFollower operatorFollower,
            RateAdmission rates,
            InFlightRequests inFlight,
            Incarnation self,
            RandomGenerator random,
            Metrics metrics) {
        this.dialect = dialect;
        this.configuration = configuration;
        this.operatorFollower = operatorFollower;
        this.rates = rates;
        this.inFlight = inFlight;
        this.self = self;
        this.clock = inFlight::now;
        this.random = random;
        this.metrics = metrics;
        this.startupQueue = new StartupCallQueue(clock);
        this.denialConfirmation = new DenialConfirmation(operatorFollower, clock, metrics);
    }

    @Override
    public void handle(HttpCall call) {
        metrics.count("direct_requests");
        CallerRequest request = request(call);
        Optional<DirectConfiguration> current = configuration.current();
        if (current.isEmpty()) {
            startupQueue.add(call);
            return;
        }
        serve(call, request, current.get());
    }

    /** Serves the requests that came before the first configuration was read. */
    void serveEarlyCalls() {
        startupQueue
                .takeAll()
                .forEach(call -> serve(call, request(call), configuration.current().get()));
    }

    /** Refuses requests that waited too long for a configuration; called a few times a second. */
    void refuseExpired() {
        startupQueue.takeExpired().forEach(this::refuseUnconfirmed);
    }

    private void refuseUnconfirmed(HttpCall call) {
        Refusal refusal =
                Refusal.notRun(
                        RefusalCode.CONFIGURATION_UNCONFIRMED,
                        "this router could not confirm that its configuration is current");
        String inputs = configuration.current().map(this::configurationInputs).orElse("");
        refuse(call, request(call), refusal.retryAfter(RETRY_AFTER), inputs);
    }

    private CallerRequest request(HttpCall call) {
        return dialect.request(call.headers());
    }

    private void serve(HttpCall call, CallerRequest request, DirectConfiguration current) {
        RoutingDecision decision = decide(call, request, current);
        if (decision.denial().isPresent()) {
            denialConfirmation.confirm(
                    call, () -> decideAgain(call, request), () -> refuseUnconfirmed(call));
        } else {
            admit(call, request, decision.route().orElseThrow(), decision.workspace());
        }
    }

    // Decides again, as the current configuration may be newer than when the request came.
    private void decideAgain(HttpCall call, CallerRequest request) {
        DirectConfiguration current = configuration.current().orElseThrow();
        RoutingDecision decision = decide(call, request, current);
        if (decision.denial().isPresent()) {
            String inputs =
                    decision.route()
                            .map(route -> "route=" + route.name())
                            .orElse(hostAndTarget(call, request));
            refuse(call, request, decision.denial().get(), inputs + configurationInputs(current));
        } else {
            admit(call, request, decision.route().orElseThrow(), decision.workspace());
        }
    }

    private RoutingDecision decide(
            HttpCall call, CallerRequest request, DirectConfiguration current) {
        Optional<Route> route = configuration.routes().find(request.host(), call.target());
        if (route.isEmpty()) {
            return configuration.routes().isUnreadable(request.host(), call.target())
                    ? RoutingDecision.unreadable(route, "route")
                    : RoutingDecision.denied(
                            route,
                            RefusalCode.UNKNOWN_SERVICE,
                            "no route matches the host and path");
        }
        if (route.get().anonymous() || !current.callerKeys().areUsed()) {
            return new RoutingDecision(route, Optional.empty(), Optional.empty());
        }
        Optional<WorkspaceSpec> workspace = request.callerKey().flatMap(current::workspaceForKey);
        if (request.callerKey().filter(current.callerKeys()::isUnreadable).isPresent()) {
            return RoutingDecision.unreadable(route, "workspace");
        }
        if (workspace.isEmpty()) {
            RefusalCode code =
                    request.callerKey().isEmpty()
                            ? RefusalCode.KEY_MISSING
                            : RefusalCode.KEY_UNKNOWN;
            return RoutingDecision.denied(route, code, "the caller key is missing or unknown");
        }
        return new RoutingDecision(route, workspace, Optional.empty());
    }

    private static String hostAndTarget(HttpCall call, CallerRequest request) {
        return request.host() + call.target();
    }

    private void admit(
            HttpCall call, CallerRequest request, Route route, Optional<WorkspaceSpec> workspace) {
        Instant now = clock.instant();
        Duration readTime = Duration.ofNanos(System.nanoTime() - call.arrivedNanos());
        Instant arrivedAt = now.minus(readTime);
        if (workspace.isEmpty() || !workspace.get().hasRateLimit()) {
            startForwarding(call, request, route, workspace, arrivedAt, 0);
            return;
        }
        long tokens = request.tokens().orElse(workspace.get().defaultTokens());
        ExchangeId id = new ExchangeId(self, ++exchangeCounter);
        rates.admit(
                id,
                workspace.get().workspace().id(),
                tokens,
                new TimeBudget(route, request.deadline()).tokenWaitLimits(readTime),
                refusal -> {
                    if (refusal.isPresent()) {
                        refuse(
                                call,
                                request,
                                refusal.get(),
                                rateLimitInputs(route, workspace.get(), tokens));
                    } else {
                        startForwarding(call, request, route, workspace, arrivedAt, tokens);
                    }
                });
    }

    private void startForwarding(
            HttpCall call,
            CallerRequest request,
            Route route,
            Optional<WorkspaceSpec> workspace,
            Instant arrivedAt,
            long chargedTokens) {
        Runnable refundTokens =
                () ->
                        workspace
                                .filter(any -> chargedTokens > 0)
                                .ifPresent(
                                        spec ->
                                                rates.settle(
                                                        spec.workspace().id(), chargedTokens, 0));
        if (call.over()) {
            refundTokens.run();
            return;
        }
        request.model().ifPresent(inFlight.dispatcher()::recordArrival);
        AdmissionTerms admission =
                new AdmissionTerms(
                        workspace,
                        allowedRegions(route, workspace),
                        priority(route, workspace),
                        arrivedAt,
                        Duration.between(arrivedAt, clock.instant()),
                        chargedTokens,
                        refundTokens);
        String service = route.chooseService(random.nextDouble());
        inFlight.start(new ForwardedRequest(inFlight, call, request, route, service, admission));
    }

    private static AllowedRegions allowedRegions(Route route, Optional<WorkspaceSpec> workspace) {
        return workspace
                .map(WorkspaceSpec::allowedRegions)
                .orElse(AllowedRegions.ANYWHERE)
                .intersect(route.allowedRegions());
    }

    private static int priority(Route route, Optional<WorkspaceSpec> workspace) {
        OptionalInt own = workspace.map(WorkspaceSpec::priority).orElse(OptionalInt.empty());
        return Math.max(0, Math.min(LOWEST_PRIORITY, own.orElse(route.priority())));
    }

    // The version and age of the configuration behind a denial, to find the cause of a wrong one.
    private String configurationInputs(DirectConfiguration current) {
        return " configuration="
                + current.version()
                + " age_ms="
                + operatorFollower.age().map(Duration::toMillis).orElse(-1L);
    }

    private String rateLimitInputs(Route route, WorkspaceSpec workspace, long tokens) {
        WorkspaceId id = workspace.workspace().id();
        return "route="
                + route.name()
                + " workspace="
                + id
                + " tokens="
                + tokens
                + " here="
                + (long) rates.available(id)
                + " part="
                + rates.part(id)
                + " rate="
                + (long) workspace.workspace().rate()
                + " burst="
                + (long) workspace.workspace().burst();
    }

    private void refuse(HttpCall call, CallerRequest request, Refusal refusal, String inputs) {
        metrics.count("direct_refused", "code", refusal.code().wireName());
        inFlight.log().logRefused(request, refusal, inputs);
        RefusalWriter.send(call, dialect.localAnswerHeaders(request.attemptId()), refusal);
    }

    /** The route and workspace of a request, or the reason why it is not admitted. */
    private record RoutingDecision(
            Optional<Route> route, Optional<WorkspaceSpec> workspace, Optional<Refusal> denial) {
        static RoutingDecision denied(Optional<Route> route, RefusalCode code, String message) {
            return new RoutingDecision(
                    route, Optional.empty(), Optional.of(Refusal.notRun(code, message)));
        }

        static RoutingDecision unreadable(Optional<Route> route, String what) {
            Refusal refusal =
                    Refusal.notRun(
                                    RefusalCode.CONFIGURATION_UNREADABLE,
                                    "the configuration of this " + what + " can't be read")
                            .retryAfter(RETRY_AFTER);
            return new RoutingDecision(route, Optional.empty(), Optional.of(refusal));
        }
    }
}
