package io.damaskyoke.control.rates;

import java.time.Duration;
import java.time.Instant;

/**
 * Detects stalls, in which this process did not run: {@code stalls.recordRunning(now); if
 * (stalls.mayHideAnswer(deadline, answerTime, now)) ...}.
 *
 * <p>After a stall, the timers that are due run before the messages that arrived meanwhile are
 * read. Without a check, a request would be refused though the tokens for it have arrived. A
 * freeze, after which {@link SpendingPermission} requires a read of the store, is a long stall.
 */
final class StallDetector {
    /** Longer than the period of ticks while requests wait, shorter than a queue timeout. */
    private static final Duration MIN_STALL = Duration.ofMillis(100);

    private Instant lastRunAt = Instant.MAX;
    private Instant stalledAt = Instant.MAX;
    private Instant resumedAt = Instant.MAX;

    /** Records that this router runs. */
    void recordRunning(Instant now) {
        if (now.isAfter(lastRunAt) && Duration.between(lastRunAt, now).compareTo(MIN_STALL) > 0) {
            stalledAt = lastRunAt;
            resumedAt = now;
        }
        lastRunAt = now;
    }

    /**
     * Returns whether the deadline passed in the last stall, and answers that arrived in that stall
     * may still be unread.
     *
     * @param answerTime the time after a stall in which such answers are read
     */
    boolean mayHideAnswer(Instant deadline, Duration answerTime, Instant now) {
        boolean passedInStall = stalledAt.isBefore(deadline) && !deadline.isAfter(resumedAt);
        return passedInStall && now.isBefore(resumedAt.plus(answerTime));
    }
}
