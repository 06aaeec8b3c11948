package io.damaskyoke.follow;

import java.time.Duration;
import java.time.Instant;

/**
 * One outstanding call to the store or to a relay: when it was sent and how long it may take. Calls
 * are compared by identity.
 */
final class StoreCall {
    private final Instant sentAt;
    private final Duration maxWait;
    private final Runnable retry;
    private final boolean relayed;
    private Instant progressedAt;

    StoreCall(Instant sentAt, Duration maxWait, Runnable retry) {
        this(sentAt, maxWait, retry, false);
    }

    StoreCall(Instant sentAt, Duration maxWait, Runnable retry, boolean relayed) {
        this.sentAt = sentAt;
        this.maxWait = maxWait;
        this.retry = retry;
        this.relayed = relayed;
        this.progressedAt = sentAt;
    }

    /** Returns true if the call went to a relay and not to the store. */
    boolean relayed() {
        return relayed;
    }

    /** Returns when the call was sent. */
    Instant sentAt() {
        return sentAt;
    }

    /** Returns how long the store may wait for a change before it answers. */
    Duration maxWait() {
        return maxWait;
    }

    /** Returns the step that sends a second call in parallel if this one is overdue. */
    Runnable retry() {
        return retry;
    }

    /** Records that a part of the answer has come. */
    void progressed(Instant now) {
        progressedAt = now;
    }

    /** Returns when the call is overdue, unless a part of its answer comes before. */
    Instant overdueAt() {
        return progressedAt.plus(maxWait).plus(PollTiming.ANSWER_TIMEOUT);
    }

    /**
     * Returns the latest time at which the store can have answered. This is earlier than {@code
     * now} if the answer lay unread while the VM was paused.
     */
    Instant latestAnswerTime(Instant now) {
        Instant latest = sentAt.plus(maxWait);
        return now.isBefore(latest) ? now : latest;
    }

    /**
     * Returns the time up to which an answer received now is complete: the end of the wait for an
     * empty answer, otherwise the time at which the call was sent.
     */
    Instant completeUpTo(Instant now, boolean empty) {
        Instant waited = sentAt.plus(maxWait);
        return empty && !now.isBefore(waited) ? waited : sentAt;
    }

    Duration age(Instant now) {
        return Duration.between(sentAt, now);
    }
}
