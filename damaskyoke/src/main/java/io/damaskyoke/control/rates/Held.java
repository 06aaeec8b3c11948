package io.damaskyoke.control.rates;

import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * A request that waits for tokens: one of this router's callers, or one that another router asks
 * for.
 *
 * @param id of the caller's request; empty if another router asks
 * @param borrower who asks, if that is another router
 * @param number in the order of arrival
 * @param inTimeUntil until then its answer can still come in time
 * @param until then it is refused
 */
record Held(
        Optional<ExchangeId> id,
        Optional<Borrower> borrower,
        long number,
        long tokens,
        Instant inTimeUntil,
        Instant until) {
    /** Another router, and the name that its loan will bear. */
    record Borrower(VmId vm, String loan) {}

    static Held own(ExchangeId id, long number, long tokens, Instant inTimeUntil, Instant until) {
        return new Held(Optional.of(id), Optional.empty(), number, tokens, inTimeUntil, until);
    }

    /** The same request, to wait no longer than this. */
    Held until(Instant latest) {
        Instant end = latest.isBefore(until) ? latest : until;
        return new Held(id, borrower, number, tokens, inTimeUntil, end);
    }

    /** True if it has waited as long as it may. */
    boolean over(Instant now) {
        return !now.isBefore(until);
    }

    /** How long it may still wait. */
    Wait waitFrom(Instant now) {
        return new Wait(left(now, inTimeUntil), left(now, until));
    }

    private static Duration left(Instant now, Instant end) {
        return end.isAfter(now) ? Duration.between(now, end) : Duration.ZERO;
    }

    static Held asked(Borrower by, long number, long tokens, Wait wait, Instant now) {
        return new Held(
                Optional.empty(),
                Optional.of(by),
                number,
                tokens,
                now.plus(wait.inTime()),
                now.plus(wait.longest()));
    }
}
