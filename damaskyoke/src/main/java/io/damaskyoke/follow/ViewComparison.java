package io.damaskyoke.follow;

import io.damaskyoke.platform.KeyValueStore.Listing;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides when a follower compares its view with a listing of the store's entries, by which it
 * finds changes that no answer has told. Listings may be some seconds old, which makes them cheap;
 * one is compared only when the answers have reached its revision.
 */
final class ViewComparison {
    /** The shortest time between two comparisons. */
    static final Duration MIN_INTERVAL = Duration.ofSeconds(10);

    /** Bounds the bytes of the listings of a large fleet. */
    private static final Duration INTERVAL_PER_KEY = Duration.ofMillis(250);

    /** Processes behind a relay compare this much later, as the store must not be asked by all. */
    private static final int INTERVALS_BEHIND_RELAY = 12;

    /** After a call that failed, the next comparison is due in this part of the interval. */
    private static final int PART_AFTER_FAILURE = 10;

    /** Processes that start in the same second begin in one of this many parts of an interval. */
    private static final int START_PARTS = 16;

    private Instant due = Instant.MIN;
    private Duration interval = MIN_INTERVAL;
    private Optional<Listing> listing = Optional.empty();
    private boolean asked;

    /** Records a full read of so many keys, with which the view is equal. */
    void fullyRead(int keys, Instant now) {
        listing = Optional.empty();
        asked = false;
        Duration byKeys = INTERVAL_PER_KEY.multipliedBy(keys);
        interval = byKeys.compareTo(MIN_INTERVAL) > 0 ? byKeys : MIN_INTERVAL;
        long part = START_PARTS + now.toEpochMilli() % START_PARTS;
        due = now.plus(interval.multipliedBy(part).dividedBy(START_PARTS));
    }

    /** Records a call that failed, with which a change may have been lost. */
    void callFailed(Instant now) {
        Instant soon = now.plus(interval.dividedBy(PART_AFTER_FAILURE));
        due = soon.isBefore(due) ? soon : due;
    }

    /**
     * Returns true if a listing is to be asked for.
     *
     * @param relayed whether this process asks a relay for changes
     */
    boolean isDue(boolean relayed, Instant now) {
        Duration more = interval.multipliedBy(relayed ? INTERVALS_BEHIND_RELAY - 1 : 0);
        return !now.isBefore(due.plus(more));
    }

    /** Records that a listing is asked for; if it does not come, another is due as usual. */
    void started(Instant now) {
        due = now.plus(interval);
        asked = true;
    }

    /** Takes a listing, unless all has been read since it was asked for. */
    void received(Listing found) {
        if (asked) {
            listing = Optional.of(found);
        }
    }

    /** Removes and returns the listing, if answers have reached its revision. */
    Optional<Listing> takeReached(long revision) {
        Optional<Listing> reached = listing.filter(found -> found.revision() <= revision);
        if (reached.isPresent()) {
            listing = Optional.empty();
        }
        return reached;
    }
}
