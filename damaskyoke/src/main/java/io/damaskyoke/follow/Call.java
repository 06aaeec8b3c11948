package io.damaskyoke.follow;

import java.time.Duration;
import java.time.Instant;

/** One call to the store; it is the same as another only if it is that call. */
final class Call {
    private final Instant at;
    private final Duration patience;
    private final Runnable again;
    private final boolean relayed;

    Call(Instant at, Duration patience, Runnable again) {
        this(at, patience, again, false);
    }

    Call(Instant at, Duration patience, Runnable again, boolean relayed) {
        this.at = at;
        this.patience = patience;
        this.again = again;
        this.relayed = relayed;
    }

    /** True if it went to a relay and not to the store. */
    boolean relayed() {
        return relayed;
    }

    /** When it was sent. */
    Instant at() {
        return at;
    }

    /** How long the store may wait for a change before it answers. */
    Duration patience() {
        return patience;
    }

    /** What to do beside it if it is not answered. */
    Runnable again() {
        return again;
    }

    /** When its answer should be here. */
    Instant due() {
        return at.plus(patience).plus(Pace.ANSWER);
    }

    /**
     * When the store answered, at the latest; an answer that waits at a VM that stands still is in
     * later.
     */
    Instant answeredBy(Instant now) {
        Instant latest = at.plus(patience);
        return now.isBefore(latest) ? now : latest;
    }

    /** Up to when an answer that comes now is good: an empty one to the end of its wait. */
    Instant goodUpTo(Instant now, boolean empty) {
        Instant waited = at.plus(patience);
        return empty && !now.isBefore(waited) ? waited : at;
    }

    Duration age(Instant now) {
        return Duration.between(at, now);
    }
}
