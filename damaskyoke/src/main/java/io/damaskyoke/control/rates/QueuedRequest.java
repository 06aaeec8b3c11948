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
 * @param arrivalNumber the position in the order of arrival
 * @param tokens the tokens that it needs
 * @param inTimeDeadline the time until which its answer can still meet the caller's objective
 * @param deadline the time at which it is refused
 */
record QueuedRequest(
        Optional<ExchangeId> id,
        Optional<Borrower> borrower,
        long arrivalNumber,
        long tokens,
        Instant inTimeDeadline,
        Instant deadline) {
    /** The router that requests the tokens, and the id that the transfer to it will have. */
    record Borrower(VmId vm, String transferId) {}

    static QueuedRequest fromCaller(
            ExchangeId id,
            long arrivalNumber,
            long tokens,
            Instant inTimeDeadline,
            Instant deadline) {
        return new QueuedRequest(
                Optional.of(id), Optional.empty(), arrivalNumber, tokens, inTimeDeadline, deadline);
    }

    /** Returns this request with a deadline no later than the given time. */
    QueuedRequest withDeadline(Instant latest) {
        Instant end = latest.isBefore(deadline) ? latest : deadline;
        return new QueuedRequest(id, borrower, arrivalNumber, tokens, inTimeDeadline, end);
    }

    /** Returns whether its deadline has passed. */
    boolean isExpired(Instant now) {
        return !now.isBefore(deadline);
    }

    /** Returns how long it may still wait. */
    WaitLimits remainingWait(Instant now) {
        return new WaitLimits(remaining(now, inTimeDeadline), remaining(now, deadline));
    }

    private static Duration remaining(Instant now, Instant end) {
        return end.isAfter(now) ? Duration.between(now, end) : Duration.ZERO;
    }

    static QueuedRequest fromRouter(
            Borrower borrower, long arrivalNumber, long tokens, WaitLimits wait, Instant now) {
        return new QueuedRequest(
                Optional.empty(),
                Optional.of(borrower),
                arrivalNumber,
                tokens,
                now.plus(wait.inTime()),
                now.plus(wait.longest()));
    }
}
