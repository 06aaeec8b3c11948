package io.damaskyoke.control.upstreams;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * How long work takes at an upstream now compared with the usual, as it has last reported.
 *
 * <p>The figure changes many times a second. It counts in full while it is fresh, and then less and
 * less until it counts for nothing.
 */
final class RelativeTime {
    private static final double USUAL_PERCENT = 100;

    /** Bounds what a false figure can do to the choice of upstreams. */
    private static final double MIN_FACTOR = 0.25;

    private static final double MAX_FACTOR = 4;

    /** Upstreams become slow or quick again within some hundred milliseconds. */
    private static final Duration FULL_AGE = Duration.ofMillis(300);

    private static final Duration MAX_AGE = Duration.ofMillis(1_200);
    private static final double FADING_NANOS = MAX_AGE.minus(FULL_AGE).toNanos();

    private double reported = 1;
    private Instant reportedAt = Instant.MIN;
    private boolean known;

    /** Takes a figure in percent of the usual time. */
    void report(int percent, Instant now) {
        reported = Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, percent / USUAL_PERCENT));
        reportedAt = now;
        known = true;
    }

    /** Discards the figure, as it is another incarnation's. */
    void discard() {
        reported = 1;
        reportedAt = Instant.MIN;
    }

    /** Returns true if a figure was ever reported, however old it is. */
    boolean isKnown() {
        return known;
    }

    /** Returns how many times as long as usual work takes now; 1 if that is not known. */
    double factor(Instant now) {
        if (reportedAt.equals(Instant.MIN)) {
            return 1;
        }
        double faded = Duration.between(reportedAt, now).minus(FULL_AGE).toNanos() / FADING_NANOS;
        double weight = 1 - Math.max(0, Math.min(1, faded));
        return 1 + (reported - 1) * weight;
    }

    /** Returns the age of the figure, if there is one. */
    Optional<Duration> age(Instant now) {
        return reportedAt.equals(Instant.MIN)
                ? Optional.empty()
                : Optional.of(Duration.between(reportedAt, now));
    }
}
