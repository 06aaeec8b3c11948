package io.damaskyoke.control.serving;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.Optional;

/** What can happen to the requests at an agent. */
public sealed interface ServingInput {
    /** A request came; {@code model} is empty for a plain service. */
    record Arrived(ExchangeId id, WorkspaceId workspace, Optional<Model> model, Instant deadline)
            implements ServingInput {}

    /** The model is in memory and may be used. */
    record Ready(ModelName model) implements ServingInput {}

    /** The model is no longer in memory, or about to go. */
    record Unready(ModelName model) implements ServingInput {}

    /** The model can't be had; whoever waits for it is refused. */
    record Unavailable(ModelName model, Refusal refusal) implements ServingInput {}

    /** A request that ran is over, well or not. */
    record Finished(ExchangeId id) implements ServingInput {}

    /** Nobody waits for the answer any more. */
    record Gone(ExchangeId id) implements ServingInput {}

    /** Time has passed. */
    record Tick() implements ServingInput {}

    /** No new work from now on. */
    record Drain() implements ServingInput {}
}
