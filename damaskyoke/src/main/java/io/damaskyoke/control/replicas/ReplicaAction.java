package io.damaskyoke.control.replicas;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import java.time.Duration;
import java.util.Optional;

/** Actions that a {@link ReplicaHolder} asks its caller to carry out. */
public sealed interface ReplicaAction {
    /** Orders the load; answered by Loaded or LoadFailed. */
    record Load(Model model, long fencing) implements ReplicaAction {}

    /** Orders the unload; answered by Unloaded or UnloadFailed. */
    record Unload(ModelName model, long fencing) implements ReplicaAction {}

    /**
     * Sends the request to the engine now; the replica stays loaded until Finished is received for
     * it.
     */
    record Ready(ExchangeId request, ModelName model) implements ReplicaAction {}

    /** Refuses the request as not executed. */
    record Refuse(
            ExchangeId request, ModelName model, RefusalCode code, Optional<Duration> retryAfter)
            implements ReplicaAction {}

    /** Releases the grant: the engine holds nothing of the model any more. */
    record Release(ModelName model, long fencing) implements ReplicaAction {}
}
