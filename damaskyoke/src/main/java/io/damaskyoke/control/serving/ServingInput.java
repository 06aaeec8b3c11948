package io.damaskyoke.control.serving;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.Optional;

/** What can happen to the requests at an agent. */
public sealed interface ServingInput {
    /** A request came; {@code model} is empty for a plain service. */
    record Arrived(
            ExchangeId id, WorkspaceId workspace, Optional<ModelName> model, Instant deadline)
            implements ServingInput {}

    /** The request's model is in memory, and stays there until the request leaves it. */
    record Ready(ExchangeId id) implements ServingInput {}

    /** The request's model can't be had. */
    record Unavailable(ExchangeId id, Refusal refusal) implements ServingInput {}

    /** A request that ran is over, well or not. */
    record Finished(ExchangeId id) implements ServingInput {}

    /** Nobody waits for the answer any more. */
    record Gone(ExchangeId id) implements ServingInput {}

    /** Time has passed. */
    record Tick() implements ServingInput {}

    /** No new work from now on. */
    record Drain() implements ServingInput {}
}
