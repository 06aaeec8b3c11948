package io.damaskyoke.control.notices;

import java.time.Duration;
import java.time.Instant;

/**
 * When, and by which incarnation of its upstream, something was stated that holds for that
 * incarnation only.
 *
 * <p>The answers of a new incarnation may arrive before its entry does. So the entry shows that the
 * statement is outdated only if the incarnation started later, or if its entry cannot be that late.
 * Upstreams state their start by clocks of their own, which may be set back: a different start is a
 * new incarnation, and what only seems to be stated by it does not hold for good.
 */
final class StatementOrigin {
    /** Start of an incarnation that is not known. */
    static final long UNKNOWN_START = 0;

    /** A heartbeat and the list's delay: how late the entry of an incarnation may arrive. */
    private static final Duration MAX_ENTRY_DELAY = Duration.ofMillis(2_500);

    /**
     * How long a statement counts as one of the listed incarnation if it may be of the one before.
     */
    private static final Duration UNCERTAIN_VALIDITY = Duration.ofSeconds(30);

    private long startedAt = UNKNOWN_START;
    private Instant statedAt = Instant.MIN;
    private boolean uncertain;

    /**
     * Records that something was stated.
     *
     * @param start start of the listed incarnation, in Unix milliseconds
     */
    void stated(long start, Instant now) {
        startedAt = start == UNKNOWN_START ? startedAt : start;
        statedAt = now;
        uncertain = false;
    }

    /**
     * Takes the listed incarnation.
     *
     * @return true if the statement was made by an earlier one
     */
    boolean isOutdatedBy(long listedStart, Instant now) {
        if (listedStart == UNKNOWN_START) {
            return false;
        }
        if (listedStart == startedAt) {
            return uncertain && !now.isBefore(statedAt.plus(UNCERTAIN_VALIDITY));
        }
        boolean startedBefore = listedStart <= statedAt.toEpochMilli();
        boolean mayBeLate = now.isBefore(statedAt.plus(MAX_ENTRY_DELAY));
        if (startedBefore && (mayBeLate || startedAt == UNKNOWN_START)) {
            uncertain = startedAt != UNKNOWN_START;
            startedAt = listedStart;
            return false;
        }
        return true;
    }
}
