package io.damaskyoke.control.serving;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.Optional;

/** An event of the requests at an agent, the input of {@link ServingMachine}. */
public sealed interface ServingInput {
    /** A request arrived; {@code model} is empty for a plain service. */
    record RequestArrived(
            ExchangeId id, WorkspaceId workspace, Optional<ModelName> model, Instant deadline)
            implements ServingInput {}

    /** The request's model is in memory and stays there until the request releases it. */
    record ModelReady(ExchangeId id) implements ServingInput {}

    /** The request's model can't be loaded. */
    record ModelUnavailable(ExchangeId id, Refusal refusal) implements ServingInput {}

    /** A running request ended, with success or failure. */
    record RunFinished(ExchangeId id) implements ServingInput {}

    /** The request was cancelled, since its answer is no longer needed. */
    record RequestCancelled(ExchangeId id) implements ServingInput {}

    /** The periodic timer fired. */
    record Tick() implements ServingInput {}

    /** The agent started to drain and accepts no new requests. */
    record DrainStarted() implements ServingInput {}
}
