package io.damaskyoke.follow;

import java.time.Duration;
import java.time.Instant;

/**
 * The revision after which a follower asks for changes: that of the last change which it has
 * received, of its last full read, or an older one of the store that later answers have confirmed.
 *
 * <p>A store that is about to compact its history may answer that nothing has changed up to a
 * revision although something has. A follower that asked from that revision on would never learn of
 * the change. So an answer without changes moves the position only when another one, given {@link
 * #SETTLING_TIME} later, has none either.
 */
final class ChangePosition {
    /** Short against the history that a store keeps, long against its compaction. */
    static final Duration SETTLING_TIME = Duration.ofSeconds(5);

    private long revision;
    private long unconfirmed;
    private Instant unconfirmedSince = Instant.MAX;

    long revision() {
        return revision;
    }

    /** Records that everything up to this revision has been received. */
    void receivedUpTo(long upTo) {
        revision = Math.max(revision, upTo);
        unconfirmedSince = Instant.MAX;
    }

    /**
     * Records an answer that says that nothing has changed.
     *
     * @param upTo the revision up to which it says so
     * @param asOf a time before which the store did not answer
     */
    void unchangedUpTo(long upTo, Instant asOf, Instant now) {
        if (unconfirmedSince.equals(Instant.MAX)) {
            unconfirmed = upTo;
            unconfirmedSince = now;
        } else if (!asOf.isBefore(unconfirmedSince.plus(SETTLING_TIME))) {
            revision = Math.max(revision, unconfirmed);
            unconfirmed = upTo;
            unconfirmedSince = now;
        }
    }
}
