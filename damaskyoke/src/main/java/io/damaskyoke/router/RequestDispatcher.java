package io.damaskyoke.router;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.configuration.Service;
import io.damaskyoke.control.routing.AgentEndpoint;
import io.damaskyoke.control.routing.Fleet;
import io.damaskyoke.control.routing.RequestMachine;
import io.damaskyoke.control.routing.RetryBudget;
import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.CancelSignal;
import io.damaskyoke.exchange.Dispatcher;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.exchange.Target;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.ExchangeClient;
import io.damaskyoke.peer.PeerAddress;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.PeerNetwork;
import io.damaskyoke.rates.Admission;
import io.damaskyoke.timeline.Timeline;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Receives requests from the caller side, admits or refuses them, and starts a {@link RequestFlow}
 * for each admitted one. Its state is confined to the control thread.
 */
final class RequestDispatcher implements Dispatcher {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration IDLE_LIMIT = Duration.ofMinutes(1);

    final ControlThread control;
    final Fleet fleet;
    final PeerNetwork network;
    final ExchangeClient client;
    final Admission admission;
    final RetryBudget retryBudget;
    final Claims claims;
    final Metrics metrics;
    final Timeline timeline;
    private final Supplier<Configuration> configuration;
    private final BooleanSupplier confirmed;
    private final int maxWaiting;
    private final BiConsumer<Request, Runnable> whenPlaced;
    private final Set<RequestFlow> flows = new LinkedHashSet<>();
    private final IdleLinks idleLinks;
    private int waiting;

    RequestDispatcher(RequestDispatcher.Dependencies dependencies) {
        this.control = dependencies.control();
        this.fleet = dependencies.fleet();
        this.network = dependencies.network();
        this.idleLinks = new IdleLinks(IDLE_LIMIT, network::forget);
        this.client = dependencies.client();
        this.admission = dependencies.admission();
        this.retryBudget = dependencies.retryBudget();
        this.claims = dependencies.claims();
        this.metrics = dependencies.metrics();
        this.timeline = dependencies.timeline();
        this.configuration = dependencies.configuration();
        this.confirmed = dependencies.confirmed();
        this.maxWaiting = dependencies.maxWaiting();
        this.whenPlaced = dependencies.whenPlaced();
    }

    /**
     * The collaborators of a dispatcher.
     *
     * @param confirmed whether the configuration in force is known to be the newest
     * @param maxWaiting the number of requests that may wait for an answer at once
     * @param whenPlaced runs the step once at least one VM may hold the request's model
     */
    record Dependencies(
            ControlThread control,
            Fleet fleet,
            PeerNetwork network,
            ExchangeClient client,
            Admission admission,
            RetryBudget retryBudget,
            Claims claims,
            Metrics metrics,
            Timeline timeline,
            Supplier<Configuration> configuration,
            BooleanSupplier confirmed,
            int maxWaiting,
            BiConsumer<Request, Runnable> whenPlaced) {}

    @Override
    public CompletionStage<Answer> dispatch(Request request, CancelSignal cancel) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        control.run(() -> receive(request, cancel, answer));
        return answer;
    }

    /** Returns the number of admitted requests that have not finished, streams included. */
    int running() {
        return flows.size();
    }

    /** Returns the number of requests that have no answer yet. */
    int waiting() {
        return waiting;
    }

    /** Refuses the waiting requests whose caller key is no longer granted. */
    void configurationChanged(Configuration now) {
        // If a running request was canceled before those queued behind it at its agent, the agent
        // would start one of them in its place.
        List<RequestFlow> newestFirst = new ArrayList<>(flows);
        Collections.reverse(newestFirst);
        for (RequestFlow flow : newestFirst) {
            if (!now.isGranted(flow.request().key())) {
                flow.callerKeyWithdrawn();
            }
        }
    }

    /** Closes the links that no request has used for a while; to be called periodically. */
    void closeIdleLinks() {
        idleLinks.closeIdle(fleet::hasOutstandingRequests, control.clock().instant());
    }

    /** Connects to the agent's VM; fails if the fleet no longer knows it. */
    CompletionStage<PeerLink> connect(VmId vm) {
        Optional<AgentEndpoint> member = fleet.endpoint(vm);
        if (member.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new RouterException(
                            RouterException.Code.UNKNOWN_AGENT, "no agent is known on VM " + vm));
        }
        PeerAddress address = new PeerAddress(vm, member.get().host(), member.get().port());
        idleLinks.recordUse(address, control.clock().instant());
        return network.connect(address);
    }

    /** Records that a flow has its answer. */
    void recordAnswered() {
        waiting--;
    }

    /** Removes a flow that has finished, its body included. */
    void removeFinished(RequestFlow flow) {
        flows.remove(flow);
    }

    private void receive(Request request, CancelSignal cancel, CompletableFuture<Answer> answer) {
        Instant now = control.clock().instant();
        Optional<Refusal> refusal = checkAcceptable(request);
        if (refusal.isPresent()) {
            refuse(request, refusal.get(), answer);
            return;
        }
        waiting++;
        admission.admit(
                request,
                now,
                verdict -> {
                    waiting--;
                    verdict.ifPresentOrElse(
                            refused -> refuse(request, refused, answer),
                            () -> startFlow(request, cancel, answer));
                });
    }

    // A payment may be repeated after it ran at another router. Refused here before its key was
    // looked up, it didn't run this time; but if the refusal said "not run", its caller would pay a
    // second time under another key.
    private void refuse(Request request, Refusal refusal, CompletableFuture<Answer> answer) {
        metrics.count("router_refused", "code", refusal.code().wireName());
        boolean notRun = refusal.notRun() && !request.claimable();
        answer.complete(
                new Answer.Refused(
                        new Refusal(
                                refusal.code(), refusal.message(), notRun, refusal.retryAfter())));
    }

    private void startFlow(Request request, CancelSignal cancel, CompletableFuture<Answer> answer) {
        RequestFlow flow = new RequestFlow(this, request, agentSelector(request), answer);
        flows.add(flow);
        waiting++;
        whenPlaced.accept(request, flow::start);
        cancel.onCancel(() -> control.run(flow::callerDisconnected));
    }

    private Optional<Refusal> checkAcceptable(Request request) {
        if (!confirmed.getAsBoolean()) {
            return refusal(
                    RefusalCode.CONFIGURATION_UNCONFIRMED,
                    "this router can't confirm that its configuration is up to date");
        }
        if (waiting >= maxWaiting) {
            return refusal(RefusalCode.OVERLOADED, "too many requests are waiting at this router");
        }
        return checkCallerKey(request);
    }

    private Optional<Refusal> checkCallerKey(Request request) {
        if (configuration.get().isGranted(request.key())) {
            return Optional.empty();
        }
        return Optional.of(
                Refusal.notRun(RefusalCode.KEY_WITHDRAWN, "the caller key was withdrawn"));
    }

    private static Optional<Refusal> refusal(RefusalCode code, String message) {
        return Optional.of(Refusal.notRun(code, message).retryAfter(RETRY_AFTER));
    }

    private RequestMachine.AgentSelector agentSelector(Request request) {
        if (request.target() instanceof Target.Model target) {
            return (tried, now) -> selectReplicaHolder(target, tried, now);
        }
        Target.Service target = (Target.Service) request.target();
        return (tried, now) -> selectServiceAgent(target, tried, now);
    }

    private Optional<VmId> selectReplicaHolder(Target.Model target, Set<VmId> tried, Instant now) {
        Model model = configuration.get().models().get(target.model());
        return model == null ? Optional.empty() : fleet.selectForModel(model, tried, now);
    }

    private Optional<VmId> selectServiceAgent(Target.Service target, Set<VmId> tried, Instant now) {
        Service service = configuration.get().services().get(target.service());
        return service == null
                ? Optional.empty()
                : fleet.selectForService(service.pool(), tried, now);
    }

    /** Returns the unfinished flows, which a stop aborts once its limit is reached. */
    List<RequestFlow> flows() {
        return List.copyOf(flows);
    }
}
