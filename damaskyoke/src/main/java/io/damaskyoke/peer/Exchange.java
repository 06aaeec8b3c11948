package io.damaskyoke.peer;

import io.damaskyoke.exchange.ExchangeException;
import java.util.concurrent.CompletionStage;

/** A request sent to an agent, whose answer is pending or streaming. */
public interface Exchange {
    /** Completes exactly once and never exceptionally; it has no timeout of its own. */
    CompletionStage<ExchangeResult> result();

    /**
     * Cancels the exchange: a pending result becomes {@link ExchangeResult.Lost}, a streaming body
     * fails with the code, and a cancel frame is sent to the agent if the link is open. Does
     * nothing once the answer is complete.
     */
    void cancel(ExchangeException.Code code, String reason);

    /** Cancels the exchange because the answer is no longer needed. */
    default void cancel(String reason) {
        cancel(ExchangeException.Code.REVOKED, reason);
    }
}
