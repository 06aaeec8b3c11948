package io.damaskyoke.follow;

import java.time.Duration;
import java.time.Instant;

/**
 * One outstanding call to the store or to a relay: when it was sent and how long it may take. Calls
 * are compared by identity.
 */
final class StoreCall {
    private final Instant at;
    private final Duration patience;
    private final Runnable again;
    private final boolean relayed;

    StoreCall(Instant at, Duration patience, Runnable again) {
        this(at, patience, again, false);
    }

    StoreCall(Instant at, Duration patience, Runnable again, boolean relayed) {
        this.at = at;
        this.patience = patience;
        this.again = again;
        this.relayed = relayed;
    }

    /** Returns true if the call went to a relay and not to the store. */
    boolean relayed() {
        return relayed;
    }

    /** Returns when the call was sent. */
    Instant sentAt() {
        return at;
    }

    /** Returns how long the store may wait for a change before it answers. */
    Duration patience() {
        return patience;
    }

    /** Returns the step that sends a second call in parallel if this one is overdue. */
    Runnable retry() {
        return again;
    }

    /** Returns when the call is overdue. */
    Instant overdueAt() {
        return at.plus(patience).plus(PollTiming.ANSWER);
    }

    /**
     * Returns the latest time at which the store can have answered. This is earlier than {@code
     * now} if the answer lay unread while the VM was paused.
     */
    Instant latestAnswerTime(Instant now) {
        Instant latest = at.plus(patience);
        return now.isBefore(latest) ? now : latest;
    }

    /**
     * Returns the time up to which an answer received now is complete: the end of the wait for an
     * empty answer, otherwise the time at which the call was sent.
     */
    Instant completeUpTo(Instant now, boolean empty) {
        Instant waited = at.plus(patience);
        return empty && !now.isBefore(waited) ? waited : at;
    }

    Duration age(Instant now) {
        return Duration.between(at, now);
    }
}
