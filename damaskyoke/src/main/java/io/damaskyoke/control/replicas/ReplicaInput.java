package io.damaskyoke.control.replicas;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.upstream.Engine;
import java.time.Instant;
import java.util.Map;

/** Events that a {@link ReplicaManager} reacts to. */
public sealed interface ReplicaInput {
    /**
     * A request needs the model by its deadline; answered by one SendRequest or one RefuseRequest.
     */
    record RequestQueued(
            ExchangeId request, ModelName model, Instant deadline, WorkspaceId workspace)
            implements ReplicaInput {}

    /** A queued request was canceled; it gets no answer. */
    record RequestCanceled(ExchangeId request, ModelName model) implements ReplicaInput {}

    /** A request that was sent to the engine has ended, successfully or not. */
    record RequestFinished(ModelName model) implements ReplicaInput {}

    /** The engine confirmed a load. */
    record Loaded(ModelName model) implements ReplicaInput {}

    /**
     * A load failed.
     *
     * @param mayBeHeld false only if the engine itself answered that it does not hold the model
     */
    record LoadFailed(ModelName model, boolean mayBeHeld) implements ReplicaInput {}

    /** The engine confirmed an unload. */
    record Unloaded(ModelName model) implements ReplicaInput {}

    /** An unload failed, or its answer was lost. */
    record UnloadFailed(ModelName model) implements ReplicaInput {}

    /** A report of the engine was received; it may be as old as the report lag of the settings. */
    record EngineReported(Engine.Report report) implements ReplicaInput {}

    /** These models and adapters are configured. */
    record ModelsConfigured(Map<ModelName, Model> models) implements ReplicaInput {}

    /** These grants are in force. */
    record GrantsChanged(ModelGrants grants) implements ReplicaInput {}

    /** Time has passed; to be sent several times a second. */
    record Tick() implements ReplicaInput {}
}
