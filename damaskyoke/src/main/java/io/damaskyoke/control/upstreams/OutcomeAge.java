package io.damaskyoke.control.upstreams;

import java.time.Instant;

/**
 * How much the outcomes of earlier requests at an upstream still say about the next one.
 *
 * <p>An upstream that was slow or failed gets no requests while others are expected to answer
 * sooner, so that nothing would ever show that it has recovered.
 */
final class OutcomeAge {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private static final double FULL_WEIGHT_MILLIS = 2_000;
    private static final double NO_WEIGHT_MILLIS = 6_000;

    private Instant lastAt = Instant.MIN;

    /** Records that the outcome of a request became known. */
    void record(Instant now) {
        lastAt = now;
    }

    /** Returns the weight of the recorded outcomes, from 1 while they are fresh to 0. */
    double weight(Instant now) {
        if (lastAt.equals(Instant.MIN)) {
            return 0;
        }
        double faded = (age(now) - FULL_WEIGHT_MILLIS) / (NO_WEIGHT_MILLIS - FULL_WEIGHT_MILLIS);
        return 1 - Math.max(0, Math.min(1, faded));
    }

    // Without a Duration, as this runs for each upstream at each choice.
    private double age(Instant now) {
        long seconds = now.getEpochSecond() - lastAt.getEpochSecond();
        return (seconds * NANOS_PER_SECOND + now.getNano() - lastAt.getNano()) / NANOS_PER_MILLI;
    }
}
