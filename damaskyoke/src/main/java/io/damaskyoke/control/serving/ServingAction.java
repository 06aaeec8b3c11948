package io.damaskyoke.control.serving;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;

/** What an agent is to do for its requests. */
public sealed interface ServingAction {
    /** See that the model gets into memory before the deadline. */
    record Want(Model model, WorkspaceId workspace, Instant deadline) implements ServingAction {}

    /** One more request uses the model: it must stay in memory. */
    record Use(ModelName model) implements ServingAction {}

    /** One request less uses the model. */
    record Leave(ModelName model) implements ServingAction {}

    /** Hand the request to the upstream. */
    record Run(ExchangeId id) implements ServingAction {}

    /** Refuse the request; it was not run. */
    record Refuse(ExchangeId id, Refusal refusal) implements ServingAction {}
}
