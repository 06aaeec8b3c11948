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
    private static final int LEAST_URGENT = 9;
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private final Dialect dialect;
    private final ConfigurationHolder configuration;
    private final OperatorFollower followed;
    private final DenialConfirmation denials;
    private final RateAdmission rates;
    private final InFlightRequests flows;
    private final Incarnation self;
    private final InstantSource clock;
    private final RandomGenerator random;
    private final Metrics metrics;
    private final StartupCallQueue early;
    private long counter;

    Ingress(
            Dialect dialect,
            ConfigurationHolder configuration,
            OperatorFollower followed,
            RateAdmission rates,
            InFlightRequests flows,
            Incarnation self,
            RandomGenerator random,
            Metrics metrics) {
        this.dialect = dialect;
        this.configuration = configuration;
        this.followed = followed;
        this.rates = rates;
        this.flows = flows;
        this.self = self;
        this.clock = flows::now;
        this.random = random;
        this.metrics = metrics;
        this.early = new StartupCallQueue(clock);
        this.denials = new DenialConfirmation(followed, clock, metrics);
    }

    @Override
    public void handle(HttpCall call) {
        metrics.count("direct_requests");
        CallerRequest request = request(call);
        Optional<DirectConfiguration> current = configuration.current();
        if (current.isEmpty()) {
            early.add(call);
            return;
        }
        serve(call, request, current.get());
    }

    /** Serves the requests that came before the first configuration was read. */
    void serveEarlyCalls() {
        early.takeAll().forEach(call -> serve(call, request(call), configuration.current().get()));
    }

    /** Refuses requests that waited too long for a configuration; called a few times a second. */
    void refuseExpired() {
        early.takeExpired().forEach(this::refuseUnconfirmed);
    }

    private void refuseUnconfirmed(HttpCall call) {
        Refusal refusal =
                Refusal.notRun(
                        RefusalCode.CONFIGURATION_UNCONFIRMED,
                        "this router could not confirm that its configuration is current");
        String inputs = configuration.current().map(this::by).orElse("");
        refuse(call, request(call), refusal.retryAfter(COME_BACK), inputs);
    }

    private CallerRequest request(HttpCall call) {
        return dialect.request(call.headers());
    }

    private void serve(HttpCall call, CallerRequest request, DirectConfiguration current) {
        Verdict verdict = verdict(call, request, current);
        if (verdict.denial().isPresent()) {
            denials.confirm(call, () -> settle(call, request), () -> refuseUnconfirmed(call));
        } else {
            admit(call, request, verdict.route().orElseThrow(), verdict.workspace());
        }
    }

    // Decides again, as the current configuration may be newer than when the request came.
    private void settle(HttpCall call, CallerRequest request) {
        DirectConfiguration current = configuration.current().orElseThrow();
        Verdict verdict = verdict(call, request, current);
        if (verdict.denial().isPresent()) {
            String inputs =
                    verdict.route()
                            .map(route -> "route=" + route.name())
                            .orElse(target(call, request));
            refuse(call, request, verdict.denial().get(), inputs + by(current));
        } else {
            admit(call, request, verdict.route().orElseThrow(), verdict.workspace());
        }
    }

    private Verdict verdict(HttpCall call, CallerRequest request, DirectConfiguration current) {
        Optional<Route> route = configuration.routes().find(request.host(), call.target());
        if (route.isEmpty()) {
            return Verdict.denied(
                    route, RefusalCode.UNKNOWN_SERVICE, "no route matches the host and path");
        }
        if (route.get().anonymous() || current.workspaces().isEmpty()) {
            return new Verdict(route, Optional.empty(), Optional.empty());
        }
        Optional<WorkspaceSpec> workspace = request.callerKey().flatMap(current::workspaceForKey);
        if (workspace.isEmpty()) {
            RefusalCode code =
                    request.callerKey().isEmpty()
                            ? RefusalCode.KEY_MISSING
                            : RefusalCode.KEY_UNKNOWN;
            return Verdict.denied(route, code, "the caller key is missing or unknown");
        }
        return new Verdict(route, workspace, Optional.empty());
    }

    private static String target(HttpCall call, CallerRequest request) {
        return request.host() + call.target();
    }

    private void admit(
            HttpCall call, CallerRequest request, Route route, Optional<WorkspaceSpec> workspace) {
        Instant now = clock.instant();
        Duration read = Duration.ofNanos(System.nanoTime() - call.arrivedNanos());
        Instant began = now.minus(read);
        if (workspace.isEmpty() || !workspace.get().hasRateLimit()) {
            begin(call, request, route, workspace, began, 0);
            return;
        }
        long tokens = request.tokens().orElse(workspace.get().defaultTokens());
        ExchangeId id = new ExchangeId(self, ++counter);
        rates.admit(
                id,
                workspace.get().workspace().id(),
                tokens,
                new TimeBudget(route, request.deadline()).tokenWaitLimits(read),
                refusal -> {
                    if (refusal.isPresent()) {
                        refuse(
                                call,
                                request,
                                refusal.get(),
                                inputs(route, workspace.get(), tokens));
                    } else {
                        begin(call, request, route, workspace, began, tokens);
                    }
                });
    }

    private void begin(
            HttpCall call,
            CallerRequest request,
            Route route,
            Optional<WorkspaceSpec> workspace,
            Instant began,
            long charged) {
        Runnable giveBack =
                () ->
                        workspace
                                .filter(any -> charged > 0)
                                .ifPresent(each -> rates.settle(each.workspace().id(), charged, 0));
        if (call.over()) {
            giveBack.run();
            return;
        }
        request.model().ifPresent(flows.dispatch()::recordArrival);
        ForwardedRequest.Admission admitted =
                new ForwardedRequest.Admission(
                        workspace.map(each -> each.workspace().id()),
                        homes(route, workspace),
                        urgency(route, workspace),
                        began,
                        Duration.between(began, clock.instant()),
                        charged,
                        giveBack);
        String service = route.chooseService(random.nextDouble());
        flows.start(new ForwardedRequest(flows, call, request, route, service, admitted));
    }

    private static AllowedRegions homes(Route route, Optional<WorkspaceSpec> workspace) {
        return workspace
                .map(WorkspaceSpec::allowedRegions)
                .orElse(AllowedRegions.ANYWHERE)
                .intersect(route.allowedRegions());
    }

    private static int urgency(Route route, Optional<WorkspaceSpec> workspace) {
        OptionalInt own = workspace.map(WorkspaceSpec::priority).orElse(OptionalInt.empty());
        return Math.max(0, Math.min(LEAST_URGENT, own.orElse(route.priority())));
    }

    // The version and age of the configuration behind a denial, to find the cause of a wrong one.
    private String by(DirectConfiguration current) {
        return " configuration="
                + current.version()
                + " age_ms="
                + followed.age().map(Duration::toMillis).orElse(-1L);
    }

    private String inputs(Route route, WorkspaceSpec workspace, long tokens) {
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
        flows.log().logRefused(request, refusal, inputs);
        RefusalWriter.send(call, dialect.ownAnswer(request.attemptId()), refusal);
    }

    /** The route and workspace of a request, or the reason why it is not admitted. */
    private record Verdict(
            Optional<Route> route, Optional<WorkspaceSpec> workspace, Optional<Refusal> denial) {
        static Verdict denied(Optional<Route> route, RefusalCode code, String message) {
            return new Verdict(route, Optional.empty(), Optional.of(Refusal.notRun(code, message)));
        }
    }
}
