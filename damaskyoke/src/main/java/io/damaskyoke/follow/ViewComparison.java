package io.damaskyoke.follow;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Listing;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Compares what a follower knows with a listing of the store's entries from time to time, by which
 * it finds changes that no answer has told. Listings may be some seconds old, which makes them
 * cheap; one is compared only when the answers have reached its revision.
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

    private static final Logger LOG = LogManager.getLogger(ViewComparison.class);

    private final String name;
    private final Supplier<CompletionStage<Listing>> lister;
    private final KnownKeys keys;
    private final ControlThread control;
    private final Metrics metrics;
    private final Runnable onMissed;
    private Instant due = Instant.MIN;
    private Duration interval = MIN_INTERVAL;
    private Optional<Listing> listing = Optional.empty();
    private boolean asked;

    /**
     * Creates a comparison that is due some time after the first full read.
     *
     * @param name the name of the followed keys
     * @param lister asks the store for a listing that may be some seconds old
     * @param onMissed runs when a change has been missed
     */
    ViewComparison(
            String name,
            Supplier<CompletionStage<Listing>> lister,
            KnownKeys keys,
            ControlThread control,
            Metrics metrics,
            Runnable onMissed) {
        this.name = name;
        this.lister = lister;
        this.keys = keys;
        this.control = control;
        this.metrics = metrics;
        this.onMissed = onMissed;
    }

    /** Records a full read that found this number of keys; the view is equal to it. */
    void fullyRead(int count) {
        listing = Optional.empty();
        asked = false;
        Duration byKeys = INTERVAL_PER_KEY.multipliedBy(count);
        interval = byKeys.compareTo(MIN_INTERVAL) > 0 ? byKeys : MIN_INTERVAL;
        long part = START_PARTS + now().toEpochMilli() % START_PARTS;
        due = now().plus(interval.multipliedBy(part).dividedBy(START_PARTS));
    }

    /** Records a call that failed, with which a change may have been lost. */
    void callFailed() {
        Instant soon = now().plus(interval.dividedBy(PART_AFTER_FAILURE));
        due = soon.isBefore(due) ? soon : due;
    }

    /**
     * Compares with the last listing if it is reached, and asks for another one if that is due.
     *
     * @param reached the revision up to which answers have told all changes
     * @param relayed whether this process asks a relay for changes
     */
    void check(long reached, boolean relayed) {
        if (listing.filter(found -> found.revision() <= reached).isPresent()) {
            Listing found = listing.get();
            listing = Optional.empty();
            compare(found);
        }
        Duration more = interval.multipliedBy(relayed ? INTERVALS_BEHIND_RELAY - 1 : 0);
        if (!now().isBefore(due.plus(more))) {
            askForListing();
        }
    }

    private void askForListing() {
        due = now().plus(interval);
        asked = true;
        lister.get().thenAccept(found -> control.run(() -> received(found)));
    }

    // All may have been read since the listing was asked for.
    private void received(Listing found) {
        if (asked) {
            listing = Optional.of(found);
        }
    }

    private void compare(Listing found) {
        List<Change> missed = keys.missingFrom(found);
        keys.forgetRemoved(found.revision());
        if (missed.isEmpty()) {
            return;
        }
        metrics.count("store_changes_missed", "of", name, missed.size());
        LOG.warn(
                "{} changes of {} up to revision {} were not received, one of them of {}; reading"
                        + " all of it again",
                missed.size(),
                name,
                found.revision(),
                missed.get(0).key());
        onMissed.run();
    }

    private Instant now() {
        return control.clock().instant();
    }
}
