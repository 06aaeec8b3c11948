package io.damaskyoke.control.replicas;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import java.time.Duration;
import java.util.Optional;

/** What a {@link ReplicaHolder} wants done. */
public sealed interface ReplicaAction {
    /** Order the load; ends in Loaded or LoadFailed. */
    record Load(Model model, long fencing) implements ReplicaAction {}

    /** Order the unload; ends in Unloaded or UnloadFailed. */
    record Unload(ModelName model, long fencing) implements ReplicaAction {}

    /** Send the request now; the replica stays until Finished comes for it. */
    record Ready(ExchangeId request, ModelName model) implements ReplicaAction {}

    /** Refuse the request as not run. */
    record Refuse(
            ExchangeId request, ModelName model, RefusalCode code, Optional<Duration> retryAfter)
            implements ReplicaAction {}

    /** Hand the right back: nothing of the model is held any more. */
    record Release(ModelName model, long fencing) implements ReplicaAction {}
}
