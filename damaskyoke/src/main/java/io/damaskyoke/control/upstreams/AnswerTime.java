package io.damaskyoke.control.upstreams;

import java.time.Instant;

/** The time that an upstream usually takes to the first byte of an answer, in milliseconds. */
final class AnswerTime {
    /** Weight of the newest answer in the moving average: about the last eight count. */
    private static final double NEWEST_WEIGHT = 0.12;

    /** Assumed of an upstream that has not answered yet. */
    private static final double ASSUMED_MILLIS = 20;

    private final OutcomeAge age = new OutcomeAge();
    private double average;
    private double least = ASSUMED_MILLIS;

    /** Records that an answer took so long. */
    void record(double millis, Instant now) {
        average = average == 0 ? millis : average + weight(now) * (millis - average);
        least = Math.min(least, average);
        age.record(now);
    }

    /** Returns the moving average; 0 if no answer has come yet. */
    double average() {
        return average;
    }

    /** Returns the moving average, or the assumed time if no answer has come yet. */
    double usual() {
        return average == 0 ? ASSUMED_MILLIS : average;
    }

    /** Returns the time expected of the next answer: the average, or less if that is old. */
    double expected(Instant now) {
        return least + (usual() - least) * age.weight(now);
    }

    // An answer after a long time says more than those before.
    private double weight(Instant now) {
        return Math.max(NEWEST_WEIGHT, 1 - age.weight(now));
    }
}
