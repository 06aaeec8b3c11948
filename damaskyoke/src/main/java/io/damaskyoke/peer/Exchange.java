package io.damaskyoke.peer;

import io.damaskyoke.exchange.ExchangeException;
import java.util.concurrent.CompletionStage;

/** One invocation under way. */
public interface Exchange {
    /** Completes exactly once and never exceptionally; without a time limit of its own. */
    CompletionStage<ExchangeResult> result();

    /**
     * Gives up: a pending result becomes {@link ExchangeResult.Lost}, a running body fails with the
     * code, and the agent is told if it can be. Does nothing once the answer is whole.
     */
    void cancel(ExchangeException.Code code, String reason);

    /** Gives up since nobody wants the answer any more. */
    default void cancel(String reason) {
        cancel(ExchangeException.Code.REVOKED, reason);
    }
}
