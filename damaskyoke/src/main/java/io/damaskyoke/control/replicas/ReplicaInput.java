package io.damaskyoke.control.replicas;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.upstream.Engine;
import java.time.Instant;
import java.util.Map;

/** What a {@link ReplicaHolder} is told. */
public sealed interface ReplicaInput {
    /** A request needs the model by its deadline; answered by one Ready or one Refuse. */
    record Wanted(ExchangeId request, ModelName model, Instant deadline, WorkspaceId workspace)
            implements ReplicaInput {}

    /** A request that still waits is no longer wanted; it gets no answer. */
    record GivenUp(ExchangeId request, ModelName model) implements ReplicaInput {}

    /** A request that was Ready has ended, well or not. */
    record Finished(ModelName model) implements ReplicaInput {}

    /** The engine confirmed a load. */
    record Loaded(ModelName model) implements ReplicaInput {}

    /**
     * A load failed.
     *
     * @param mayBeHeld false only if the engine itself said that it doesn't hold the model
     */
    record LoadFailed(ModelName model, boolean mayBeHeld) implements ReplicaInput {}

    /** The engine confirmed an unload. */
    record Unloaded(ModelName model) implements ReplicaInput {}

    /** An unload failed, or its answer was lost. */
    record UnloadFailed(ModelName model) implements ReplicaInput {}

    /** The engine's report came; it may be old by the settings' report lag. */
    record Reported(Engine.Report report) implements ReplicaInput {}

    /** These models and adapters are in force. */
    record Configured(Map<ModelName, Model> models) implements ReplicaInput {}

    /** These rights are in force. */
    record RightsChanged(Rights rights) implements ReplicaInput {}

    /** Time has passed. Wanted a few times a second. */
    record Tick() implements ReplicaInput {}
}
