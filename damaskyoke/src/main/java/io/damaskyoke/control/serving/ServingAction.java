package io.damaskyoke.control.serving;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;

/** What an agent is to do for its requests. */
public sealed interface ServingAction {
    /** See that the request's model gets into memory before the deadline. */
    record Want(ExchangeId id, ModelName model, WorkspaceId workspace, Instant deadline)
            implements ServingAction {}

    /** The request no longer waits for its model, which never became ready for it. */
    record GiveUp(ExchangeId id, ModelName model) implements ServingAction {}

    /** A request for which the model was ready uses it no longer. */
    record Leave(ModelName model) implements ServingAction {}

    /** Hand the request to the upstream. */
    record Run(ExchangeId id) implements ServingAction {}

    /** Refuse the request; it was not run. */
    record Refuse(ExchangeId id, Refusal refusal) implements ServingAction {}
}
