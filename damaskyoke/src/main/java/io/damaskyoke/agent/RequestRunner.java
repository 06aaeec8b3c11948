package io.damaskyoke.agent;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.claims.ClaimRecord;
import io.damaskyoke.control.claims.KeyedOutcomes;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.serving.ServingAction;
import io.damaskyoke.control.serving.ServingInput;
import io.damaskyoke.control.serving.ServingMachine;
import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.exchange.Target;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.ExchangeHandler;
import io.damaskyoke.peer.IncomingExchange;
import io.damaskyoke.peer.wire.Load;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.Timeline;
import io.damaskyoke.upstream.TokenUsage;
import io.damaskyoke.upstream.Upstream;
import io.damaskyoke.upstream.UpstreamException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.apache.pekko.stream.Materializer;

/**
 * Receives the requests that routers send and runs them at the upstream: feeds a {@link
 * ServingMachine} and executes its actions. The state belongs to the control thread.
 */
final class RequestRunner implements ExchangeHandler {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ControlThread control;
    private final ServingMachine machine;
    private final Upstream upstream;
    private final Supplier<Configuration> configuration;
    private final Metrics metrics;
    private final Timeline timeline;
    private final int maxRunning;
    private final int maxKeptBodyBytes;
    private final KeyedOutcomes outcomes;
    private final Materializer materializer;
    private final Map<ExchangeId, IncomingExchange> exchanges = new HashMap<>();
    private final Map<ExchangeId, CompletableFuture<Answer.Served>> calls = new HashMap<>();
    private ModelReplicas replicas = ModelReplicas.none();
    private volatile Load load = Load.getDefaultInstance();

    RequestRunner(
            ControlThread control,
            ServingMachine machine,
            Upstream upstream,
            Supplier<Configuration> configuration,
            Metrics metrics,
            Timeline timeline,
            int maxRunning,
            int maxKeptBodyBytes,
            KeyedOutcomes outcomes,
            Materializer materializer) {
        this.control = control;
        this.machine = machine;
        this.upstream = upstream;
        this.configuration = configuration;
        this.metrics = metrics;
        this.timeline = timeline;
        this.maxRunning = maxRunning;
        this.maxKeptBodyBytes = maxKeptBodyBytes;
        this.outcomes = outcomes;
        this.materializer = materializer;
    }

    /** Sets the access to the engine's models; must be called before the first request. */
    void replicas(ModelReplicas given) {
        replicas = given;
    }

    @Override
    public void handle(IncomingExchange exchange) {
        control.run(() -> requestReceived(exchange));
    }

    /** Feeds an input to the state machine and executes its actions; control thread only. */
    void feed(ServingInput input) {
        for (ServingAction action : machine.on(input, now())) {
            execute(action);
        }
        updateLoad();
    }

    /** Returns true once a drain is complete; control thread only. */
    boolean drained() {
        return machine.isDrained();
    }

    /** Returns the load as of the last input; may be called from any thread. */
    Load load() {
        return load;
    }

    private void requestReceived(IncomingExchange exchange) {
        Request request = exchange.request();
        Optional<ModelName> model = model(request);
        if (model.isPresent() && !configuration.get().models().containsKey(model.get())) {
            exchange.refuse(unknownModel(exchange), load);
            return;
        }
        if (KeyedOutcomes.isTracked(request)) {
            Optional<Refusal> refusal = outcomes.begin(request);
            if (refusal.isPresent()) {
                metrics.count("agent_keys_seen_before");
                exchange.refuse(refusal.get(), load);
                return;
            }
        }
        exchanges.put(request.id(), exchange);
        exchange.onCancel(() -> control.run(() -> requestCanceled(request.id())));
        feed(
                new ServingInput.RequestArrived(
                        request.id(), request.workspace(), model, request.deadline()));
    }

    private static Optional<ModelName> model(Request request) {
        return request.target() instanceof Target.Model target
                ? Optional.of(target.model())
                : Optional.empty();
    }

    // A router may have a newer configuration than this agent. UNKNOWN_MODEL would then refuse the
    // caller for good, although a short wait or another agent would help.
    private Refusal unknownModel(IncomingExchange exchange) {
        if (exchange.configSequence() > configuration.get().sequence()) {
            return Refusal.notRun(
                            RefusalCode.NO_UPSTREAM,
                            "the agent's configuration is older than the router's")
                    .retryAfter(RETRY_AFTER);
        }
        return Refusal.notRun(RefusalCode.UNKNOWN_MODEL, "no such model");
    }

    private void execute(ServingAction action) {
        if (action instanceof ServingAction.AcquireModel acquire) {
            replicas.acquire(
                    acquire.id(), acquire.model(), acquire.workspace(), acquire.deadline());
        } else if (action instanceof ServingAction.CancelAcquire cancel) {
            replicas.cancelAcquire(cancel.id(), cancel.model());
        } else if (action instanceof ServingAction.ReleaseModel release) {
            replicas.release(release.model());
        } else if (action instanceof ServingAction.Run run) {
            run(run.id());
        } else if (action instanceof ServingAction.Refuse refuse) {
            refuse(refuse.id(), refuse.refusal());
        }
    }

    private void run(ExchangeId id) {
        IncomingExchange exchange = exchanges.get(id);
        if (exchange.cancelled()) {
            recordEnd(exchange.request(), true);
            control.run(() -> runFinished(id));
            return;
        }
        metrics.count("agent_requests_run");
        timeline.add(EventType.HANDED_OVER, id.toString());
        CompletableFuture<Answer.Served> call = upstream.send(exchange.request());
        calls.put(id, call);
        call.whenComplete(
                (answer, failure) -> {
                    if (failure == null && KeyedOutcomes.isTracked(exchange.request())) {
                        bufferAnswer(exchange, answer);
                    } else if (failure == null) {
                        serve(exchange, answer);
                    } else {
                        fail(exchange, failure);
                    }
                });
    }

    private void bufferAnswer(IncomingExchange exchange, Answer.Served answer) {
        BufferedAnswer.of(answer, maxKeptBodyBytes, materializer)
                .whenComplete(
                        (buffered, failure) -> {
                            if (failure == null) {
                                control.run(() -> recordAnswer(exchange.request(), buffered));
                                serve(exchange, buffered.answer());
                            } else {
                                fail(exchange, failure);
                            }
                        });
    }

    private void recordAnswer(Request request, BufferedAnswer buffered) {
        Answer.Served answer = buffered.answer();
        outcomes.recordAnswer(
                request,
                new ClaimRecord.Outcome(answer.status(), answer.headers(), buffered.body()));
    }

    private void recordEnd(Request request, boolean notRun) {
        if (KeyedOutcomes.isTracked(request)) {
            outcomes.recordEnd(request, notRun);
        }
    }

    private void serve(IncomingExchange exchange, Answer.Served answer) {
        ExchangeId id = exchange.request().id();
        TokenUsage usage = new TokenUsage();
        var body =
                answer.body()
                        .map(usage::pass)
                        .watchTermination(
                                (mat, done) -> {
                                    done.whenComplete(
                                            (ok, failure) -> control.run(() -> runFinished(id)));
                                    return mat;
                                });
        exchange.serve(
                new Answer.Served(answer.status(), answer.headers(), body),
                this::load,
                () -> usage.total().orElse(0));
    }

    private void fail(IncomingExchange exchange, Throwable failure) {
        ExchangeId id = exchange.request().id();
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean notRun = cause instanceof UpstreamException known && known.notRun();
        Refusal refusal =
                notRun
                        ? Refusal.notRun(RefusalCode.NO_UPSTREAM, "the upstream can't be reached")
                                .retryAfter(RETRY_AFTER)
                        : Refusal.mayHaveRun(failureCode(exchange), "the upstream did not answer");
        metrics.count("agent_upstream_failures", "not_run", String.valueOf(notRun));
        control.run(() -> recordEnd(exchange.request(), notRun));
        exchange.refuse(refusal, load);
        control.run(() -> runFinished(id));
    }

    private static RefusalCode failureCode(IncomingExchange exchange) {
        return exchange.request().idempotent()
                ? RefusalCode.UPSTREAM_FAILED
                : RefusalCode.OUTCOME_UNKNOWN;
    }

    private void runFinished(ExchangeId id) {
        calls.remove(id);
        if (exchanges.remove(id) != null) {
            timeline.add(EventType.ANSWERED, id.toString());
            feed(new ServingInput.RunFinished(id));
        }
    }

    private void requestCanceled(ExchangeId id) {
        feed(new ServingInput.RequestCancelled(id));
        if (!machine.isRunning(id)) {
            IncomingExchange dropped = exchanges.remove(id);
            if (dropped != null) {
                recordEnd(dropped.request(), true);
            }
        } else if (mustFinish(id)) {
            metrics.count("agent_keyed_requests_finished_alone");
        } else {
            cancelCall(id);
        }
    }

    // Canceling the call of a request that has begun, such as a payment, would not undo it but only
    // hide its outcome. So a request with an idempotency key continues without its router, and its
    // outcome is kept for a repeat.
    private boolean mustFinish(ExchangeId id) {
        IncomingExchange exchange = exchanges.get(id);
        return exchange != null && KeyedOutcomes.isTracked(exchange.request());
    }

    // This has no effect once the answer has begun: the exchange then cancels the body, and the end
    // of the body finishes the request.
    private void cancelCall(ExchangeId id) {
        CompletableFuture<Answer.Served> call = calls.get(id);
        if (call != null) {
            call.cancel(false);
        }
    }

    private void refuse(ExchangeId id, Refusal refusal) {
        IncomingExchange exchange = exchanges.remove(id);
        if (exchange != null) {
            timeline.add(
                    EventType.REFUSED, id.toString(), Map.of("code", refusal.code().wireName()));
            recordEnd(exchange.request(), refusal.notRun());
            exchange.refuse(refusal, load);
        }
    }

    private void updateLoad() {
        Load.Builder now =
                Load.newBuilder()
                        .setRunning(machine.running())
                        .setWaiting(machine.waiting())
                        .setLimit(maxRunning)
                        .setMemoryBytes(replicas.memoryBytes())
                        .setMemoryUsedBytes(replicas.memoryUsedBytes());
        replicas.loaded().forEach(model -> now.addLoaded(model.value()));
        replicas.loading().forEach(model -> now.addLoading(model.value()));
        load = now.build();
    }

    private Instant now() {
        return control.clock().instant();
    }
}
