package io.damaskyoke.follow;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Records up to which time and revision the followed part of the store is known here. */
final class StoreView {
    private Instant asOf;
    private Instant previousAsOf = Instant.MIN;
    private Instant lastAnswered;
    private long revision;

    /**
     * Records an answer, after which all changes up to the moment are known. The recorded time and
     * revision never go back. Returns the time between the previous answer of the store and this
     * one.
     *
     * @param moment the time up to which the answer is complete
     * @param answered when the store answered, which may be a while after {@code moment}
     * @param upTo the revision up to which the answer is complete
     */
    Duration confirm(Instant moment, Instant answered, long upTo) {
        previousAsOf = asOf == null ? Instant.MIN : asOf;
        if (asOf == null || moment.isAfter(asOf)) {
            asOf = moment;
        }
        revision = Math.max(revision, upTo);
        Instant before = lastAnswered == null ? answered : lastAnswered;
        lastAnswered = before.isAfter(answered) ? before : answered;
        return Duration.between(before, lastAnswered);
    }

    Optional<Instant> asOf() {
        return Optional.ofNullable(asOf);
    }

    /**
     * Returns the time up to which the view was complete before the last answer; {@link
     * Instant#MIN} if it never was.
     */
    Instant previousAsOf() {
        return previousAsOf;
    }

    /** Returns true if all changes up to the moment are known. */
    boolean reaches(Instant moment) {
        return asOf != null && !asOf.isBefore(moment);
    }

    /** Returns how long ago the view was surely complete; empty before the first full read. */
    Optional<Duration> age(Instant now) {
        return asOf().map(moment -> Duration.between(moment, now));
    }

    long revision() {
        return revision;
    }
}
