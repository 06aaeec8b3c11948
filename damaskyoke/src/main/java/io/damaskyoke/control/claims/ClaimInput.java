package io.damaskyoke.control.claims;

import io.damaskyoke.platform.KeyValueStore.TxnResult;

/** An event that {@link ClaimBatcher} processes. */
public sealed interface ClaimInput {
    /** A write was submitted. */
    record WriteSubmitted(ClaimWrite write) implements ClaimInput {}

    /** The timer of the last {@link ClaimAction.WakeAt} fired. */
    record Tick() implements ClaimInput {}

    /** The store answered the commit in flight. */
    record CommitAnswered(TxnResult result) implements ClaimInput {}

    /**
     * The commit in flight failed without an answer of the store.
     *
     * @param mayHaveTakenEffect false if it is certain that the commit took no effect
     */
    record CommitFailed(boolean mayHaveTakenEffect) implements ClaimInput {}
}
