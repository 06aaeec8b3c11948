package io.damaskyoke.control.replicas;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import java.time.Duration;
import java.util.Optional;

/** Actions that a {@link ReplicaManager} asks its caller to carry out. */
public sealed interface ReplicaAction {
    /** Orders the load; answered by Loaded or LoadFailed. */
    record LoadModel(Model model, long fencing) implements ReplicaAction {}

    /** Orders the unload; answered by Unloaded or UnloadFailed. */
    record UnloadModel(ModelName model, long fencing) implements ReplicaAction {}

    /**
     * Sends the request to the engine now; the replica stays loaded until RequestFinished is
     * received for it.
     */
    record SendRequest(ExchangeId request, ModelName model) implements ReplicaAction {}

    /** Refuses the request as not executed. */
    record RefuseRequest(
            ExchangeId request, ModelName model, RefusalCode code, Optional<Duration> retryAfter)
            implements ReplicaAction {}

    /** Releases the grant: the engine holds nothing of the model any more. */
    record ReleaseGrant(ModelName model, long fencing) implements ReplicaAction {}
}
