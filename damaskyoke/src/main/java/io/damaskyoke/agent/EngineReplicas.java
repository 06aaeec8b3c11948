package io.damaskyoke.agent;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.replicas.ReplicaAction;
import io.damaskyoke.control.replicas.ReplicaInput;
import io.damaskyoke.control.replicas.ReplicaManager;
import io.damaskyoke.control.replicas.ReplicaSettings;
import io.damaskyoke.control.serving.ServingInput;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.node.Node;
import io.damaskyoke.settings.AgentSettings;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.Timeline;
import io.damaskyoke.upstream.Engine;
import io.damaskyoke.upstream.UpstreamException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Loads and unloads the models of one engine: feeds a {@link ReplicaManager} with requests, results
 * of orders and engine reports, and executes its actions at the engine. The state belongs to the
 * control thread.
 */
final class EngineReplicas implements ModelReplicas {
    private static final Duration REPORT_PERIOD = Duration.ofSeconds(1);
    private static final Duration TICK_PERIOD = Duration.ofMillis(200);

    // Load times assumed for a model that has not been loaded yet. An estimate that is too long
    // refuses the first request of every model; one that is too short only lets one request wait in
    // vain. So the estimates are low.
    private static final Duration FIRST_MODEL_ESTIMATE = Duration.ofSeconds(3);
    private static final Duration FIRST_ADAPTER_ESTIMATE = Duration.ofSeconds(1);

    private final ControlThread control;
    private final Engine engine;
    private final ReplicaManager manager;
    private final Consumer<ServingInput> serving;
    private final Metrics metrics;
    private final Timeline timeline;
    private final Map<ModelName, ExchangeId> causes = new HashMap<>();
    private final Map<ExchangeId, ReplicaInput.RequestQueued> awaitingGrants = new HashMap<>();
    private GrantFollower grants;
    private BooleanSupplier configured = () -> false;

    private EngineReplicas(
            Node node,
            Engine engine,
            AgentSettings.Upstream settings,
            Consumer<ServingInput> serving) {
        this.control = node.control();
        this.engine = engine;
        this.manager =
                new ReplicaManager(
                        ReplicaSettings.defaults()
                                .withLoadsAtOnce(settings.loadsAtOnce())
                                .withEstimates(FIRST_MODEL_ESTIMATE, FIRST_ADAPTER_ESTIMATE));
        this.serving = serving;
        this.metrics = node.metrics();
        this.timeline = node.timeline();
    }

    /**
     * Starts to manage the models of the engine.
     *
     * @param serving receives the inputs that tell whether a model is ready or unavailable
     */
    static EngineReplicas start(
            Node node,
            Engine engine,
            AgentSettings.Upstream settings,
            Consumer<ServingInput> serving) {
        EngineReplicas replicas = new EngineReplicas(node, engine, settings, serving);
        node.control().run(() -> replicas.begin(node));
        return replicas;
    }

    @Override
    public void acquire(ExchangeId id, ModelName model, WorkspaceId workspace, Instant deadline) {
        causes.put(model, id);
        ReplicaInput.RequestQueued queued =
                new ReplicaInput.RequestQueued(id, model, deadline, workspace);
        if (grants != null && !grants.isGranted(model)) {
            awaitingGrants.put(id, queued);
            grants.refresh(() -> grantsRefreshed(id));
        } else {
            feed(queued);
        }
    }

    // A router may know of a grant that is newer than this agent's last read of the placement
    // table.
    // Without a second read, the only VM that may serve a new model would refuse its first request.
    private void grantsRefreshed(ExchangeId id) {
        ReplicaInput.RequestQueued queued = awaitingGrants.remove(id);
        if (queued != null) {
            feed(queued);
        }
    }

    @Override
    public void cancelAcquire(ExchangeId id, ModelName model) {
        causes.remove(model, id);
        if (awaitingGrants.remove(id) == null) {
            feed(new ReplicaInput.RequestCanceled(id, model));
        }
    }

    @Override
    public void release(ModelName model) {
        feed(new ReplicaInput.RequestFinished(model));
    }

    @Override
    public Set<ModelName> loaded() {
        return manager.loadedModels();
    }

    @Override
    public Set<ModelName> loading() {
        return manager.loadingModels();
    }

    @Override
    public long memoryBytes() {
        return manager.memoryBytes();
    }

    @Override
    public long memoryUsedBytes() {
        return manager.memoryUsedBytes();
    }

    private void begin(Node node) {
        this.grants =
                GrantFollower.start(
                        node,
                        granted -> feed(new ReplicaInput.GrantsChanged(granted)),
                        manager::holdsNothingOf);
        feed(new ReplicaInput.ModelsConfigured(node.configuration().current().models()));
        node.configuration()
                .onChange(
                        now ->
                                control.run(
                                        () ->
                                                feed(
                                                        new ReplicaInput.ModelsConfigured(
                                                                now.models()))));
        configured = () -> node.configuration().current().sequence() > 0;
        report();
        control.every(TICK_PERIOD, this::tick);
    }

    private void tick() {
        feed(new ReplicaInput.Tick());
        grants.tick();
    }

    private void report() {
        engine.report()
                .whenComplete(
                        (report, failure) -> control.run(() -> reportReceived(report, failure)));
    }

    // An agent that restarts while the store is down knows neither grants nor models. From the
    // report alone it would treat every model in the engine as unwanted and unload it, and every
    // model on the VM would start cold. Without a report the manager orders nothing.
    private void reportReceived(Engine.Report report, Throwable failure) {
        if (failure == null && grants.isKnown() && configured.getAsBoolean()) {
            feed(new ReplicaInput.EngineReported(report));
        } else if (failure != null) {
            metrics.count("engine_report_failures");
        }
        control.after(REPORT_PERIOD, this::report);
    }

    private void feed(ReplicaInput input) {
        for (ReplicaAction action : manager.on(input, control.clock().instant())) {
            execute(action);
        }
    }

    private void execute(ReplicaAction action) {
        if (action instanceof ReplicaAction.LoadModel load) {
            load(load);
        } else if (action instanceof ReplicaAction.UnloadModel unload) {
            unload(unload);
        } else if (action instanceof ReplicaAction.SendRequest ready) {
            causes.remove(ready.model());
            feedServing(new ServingInput.ModelReady(ready.request()));
        } else if (action instanceof ReplicaAction.RefuseRequest refuse) {
            Refusal refusal =
                    new Refusal(
                            refuse.code(),
                            "the model is not available on this VM now: " + refuse.model(),
                            true,
                            refuse.retryAfter());
            causes.remove(refuse.model(), refuse.request());
            feedServing(new ServingInput.ModelUnavailable(refuse.request(), refusal));
        }
    }

    // The serving state machine may be in the middle of the step that led here, so the input is fed
    // in a later step on the control thread.
    private void feedServing(ServingInput input) {
        control.run(() -> serving.accept(input));
    }

    private void load(ReplicaAction.LoadModel order) {
        ModelName model = order.model().name();
        Instant started = control.clock().instant();
        Map<String, String> cause = cause(model);
        timeline.add(EventType.LOAD_BEGUN, model.value(), cause);
        engine.load(order.model(), order.fencing())
                .whenComplete(
                        (ok, failure) ->
                                control.run(() -> loadCompleted(model, started, cause, failure)));
    }

    private void loadCompleted(
            ModelName model, Instant started, Map<String, String> cause, Throwable failure) {
        Map<String, String> details = new HashMap<>(cause);
        if (failure == null) {
            long millis = Duration.between(started, control.clock().instant()).toMillis();
            metrics.histogram("engine_load_ms").update(millis);
            details.put("ms", String.valueOf(millis));
            timeline.add(EventType.LOADED, model.value(), details);
            feed(new ReplicaInput.Loaded(model));
            return;
        }
        metrics.count("engine_load_failures");
        details.put("code", code(failure));
        timeline.add(EventType.LOAD_FAILED, model.value(), details);
        feed(new ReplicaInput.LoadFailed(model, mayBeLoaded(failure)));
    }

    /** Returns the id of the last request that still waits for the model, for the timeline. */
    private Map<String, String> cause(ModelName model) {
        ExchangeId request = causes.get(model);
        return request == null ? Map.of() : Map.of("request", request.toString());
    }

    private void unload(ReplicaAction.UnloadModel order) {
        engine.unload(order.model(), order.fencing())
                .whenComplete(
                        (ok, failure) ->
                                control.run(() -> unloadCompleted(order.model(), failure)));
    }

    private void unloadCompleted(ModelName model, Throwable failure) {
        if (failure == null) {
            timeline.add(EventType.UNLOADED, model.value());
            feed(new ReplicaInput.Unloaded(model));
        } else {
            metrics.count("engine_unload_failures");
            feed(new ReplicaInput.UnloadFailed(model));
        }
    }

    // Only a rejection by the engine, or an order that was not sent, shows that nothing was loaded.
    // An order whose answer was lost may still be executed, so its memory counts as used until a
    // report shows otherwise.
    private static boolean mayBeLoaded(Throwable failure) {
        return upstreamCode(failure)
                .map(
                        code ->
                                switch (code) {
                                    case NOT_SENT, ORDER_REFUSED, OUT_OF_MEMORY -> false;
                                    default -> true;
                                })
                .orElse(true);
    }

    private static String code(Throwable failure) {
        return upstreamCode(failure).map(Enum::name).orElse("UNKNOWN");
    }

    private static Optional<UpstreamException.Code> upstreamCode(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof UpstreamException known
                ? Optional.of(known.code())
                : Optional.empty();
    }
}
