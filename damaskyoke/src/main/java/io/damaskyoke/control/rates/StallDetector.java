package io.damaskyoke.control.rates;

import java.time.Duration;
import java.time.Instant;

/**
 * Detects that this router stood still, so that it doesn't take its own pause for the silence of
 * other routers: {@code stalls.recordRunning(now); if (stalls.mayHideAnswer(deadline, ...)) ...}.
 *
 * <p>After a pause of the process the timers that are due run before the messages that arrived
 * meanwhile are read.
 */
final class StallDetector {
    /** A request waits longer than this, and answers usually come within a few milliseconds. */
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
     * Returns whether a deadline passed while this router stood still, and an answer that came
     * before it may still be unread.
     *
     * @param answerTime how long after a stall an answer may take to be read
     */
    boolean mayHideAnswer(Instant deadline, Duration answerTime, Instant now) {
        boolean passedInStall = stalledAt.isBefore(deadline) && !deadline.isAfter(resumedAt);
        return passedInStall && now.isBefore(resumedAt.plus(answerTime));
    }
}
