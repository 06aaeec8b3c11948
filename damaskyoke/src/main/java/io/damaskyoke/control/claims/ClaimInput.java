package io.damaskyoke.control.claims;

import io.damaskyoke.platform.KeyValueStore.TxnResult;

/** What can happen to a {@link ClaimBatcher}. */
public sealed interface ClaimInput {
    /** A change is wanted. */
    record Submit(ClaimWrite write) implements ClaimInput {}

    /** Time has passed. */
    record Tick() implements ClaimInput {}

    /** The store answered the commit under way. */
    record Answered(TxnResult result) implements ClaimInput {}

    /** The store did not; the commit may have taken effect all the same, or surely did not. */
    record Failed(boolean mayHaveTakenEffect) implements ClaimInput {}
}
