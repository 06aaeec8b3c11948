package io.damaskyoke.control.rates;

import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * A request that waits for tokens: from a caller of this router, or from another router.
 *
 * @param id the caller's request; empty if another router requests the tokens
 * @param borrower the other router, if one requests the tokens
 * @param number the position in the order of arrival
 * @param tokens the tokens that it needs
 * @param inTimeUntil the time until which its answer can still meet the caller's objective
 * @param until the time at which it is refused
 */
record Held(
        Optional<ExchangeId> id,
        Optional<Borrower> borrower,
        long number,
        long tokens,
        Instant inTimeUntil,
        Instant until) {
    /** The router that requests the tokens, and the id that the transfer to it will have. */
    record Borrower(VmId vm, String loan) {}

    static Held own(ExchangeId id, long number, long tokens, Instant inTimeUntil, Instant until) {
        return new Held(Optional.of(id), Optional.empty(), number, tokens, inTimeUntil, until);
    }

    /** Returns this request with a deadline no later than the given time. */
    Held until(Instant latest) {
        Instant end = latest.isBefore(until) ? latest : until;
        return new Held(id, borrower, number, tokens, inTimeUntil, end);
    }

    /** Returns whether its deadline has passed. */
    boolean over(Instant now) {
        return !now.isBefore(until);
    }

    /** Returns how long it may still wait. */
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
