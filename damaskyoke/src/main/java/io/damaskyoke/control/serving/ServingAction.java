package io.damaskyoke.control.serving;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;

/** An action that {@link ServingMachine} tells the agent to carry out for its requests. */
public sealed interface ServingAction {
    /** Load the request's model into memory before the deadline, if it is not there yet. */
    record AcquireModel(ExchangeId id, ModelName model, WorkspaceId workspace, Instant deadline)
            implements ServingAction {}

    /** Stop waiting for the model of a request that did not get it. */
    record CancelAcquire(ExchangeId id, ModelName model) implements ServingAction {}

    /** Release the model for a request that had it and no longer uses it. */
    record ReleaseModel(ModelName model) implements ServingAction {}

    /** Send the request to the upstream. */
    record Run(ExchangeId id) implements ServingAction {}

    /** Refuse the request, which was not run. */
    record Refuse(ExchangeId id, Refusal refusal) implements ServingAction {}
}
