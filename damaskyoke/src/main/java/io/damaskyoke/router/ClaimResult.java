package io.damaskyoke.router;

import io.damaskyoke.control.claims.ClaimRecord;
import io.damaskyoke.exchange.Refusal;

/** The result of an attempt to claim or look up an idempotency key. */
sealed interface ClaimResult {
    /** The key is claimed for this request; {@code claim} is what the store holds. */
    record Claimed(HeldClaim claim) implements ClaimResult {}

    /** An earlier request with the same key was answered; {@code settled} records its answer. */
    record AlreadyAnswered(ClaimRecord settled) implements ClaimResult {}

    /** The key was only looked up, and no earlier request with it is known to have run. */
    record NotFound() implements ClaimResult {}

    /** The key is not claimed, and the request must not be sent. */
    record Refused(Refusal refusal) implements ClaimResult {}
}
