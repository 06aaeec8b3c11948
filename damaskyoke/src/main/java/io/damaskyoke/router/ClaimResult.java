package io.damaskyoke.router;

import io.damaskyoke.control.claims.ClaimRecord;
import io.damaskyoke.exchange.Refusal;

/** What became of the wish to claim an idempotency key. */
sealed interface ClaimResult {
    /** It is claimed; the claim stands in the store as said. */
    record Held(HeldClaim claim) implements ClaimResult {}

    /** A request under the key was answered before. */
    record Before(ClaimRecord settled) implements ClaimResult {}

    /** It was only looked up, and no earlier request under it is known to have run. */
    record NotFound() implements ClaimResult {}

    /** It is not claimed, and the request must not be sent. */
    record Refused(Refusal refusal) implements ClaimResult {}
}
