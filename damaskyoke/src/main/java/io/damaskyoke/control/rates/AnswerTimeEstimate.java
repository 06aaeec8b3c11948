package io.damaskyoke.control.rates;

import java.time.Duration;

/**
 * Estimates how long other routers take to answer a token request, and derives the timeout of the
 * next: {@code time.recordAnswer(took); wait(time.timeout())}.
 *
 * <p>Routers on a tenth of a core answer after tens of milliseconds, others after two. If the
 * timeout is too short, a late answer is followed by token requests to all other routers, and the
 * tokens that still arrive are unusable for everybody until the transfer expires. If it is too
 * long, a router that died holds up every request that asked it.
 */
final class AnswerTimeEstimate {
    /** Routers with spare CPU answer in a few milliseconds. */
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(40);

    /** About the whole latency objective of the most urgent callers. */
    private static final Duration MAX_TIMEOUT = Duration.ofMillis(250);

    /**
     * Answer times vary: about one in several dozen exceeds the average by more than this factor.
     */
    private static final double TIMEOUT_FACTOR = 4;

    private static final double NEWEST_WEIGHT = 0.15;

    private static final double NANOS_PER_MILLI = 1e6;

    private double averageMillis;

    /** Adds a measured answer time to the moving average. */
    void recordAnswer(Duration took) {
        averageMillis += NEWEST_WEIGHT * (took.toNanos() / NANOS_PER_MILLI - averageMillis);
    }

    /**
     * Records that no answer came within {@link #timeout()}. The lender may only be slow, so the
     * estimate grows.
     */
    void recordTimeout() {
        recordAnswer(timeout());
    }

    /** Returns how long to wait for an answer. */
    Duration timeout() {
        Duration timeout =
                Duration.ofNanos((long) (averageMillis * TIMEOUT_FACTOR * NANOS_PER_MILLI));
        if (timeout.compareTo(MIN_TIMEOUT) < 0) {
            return MIN_TIMEOUT;
        }
        return timeout.compareTo(MAX_TIMEOUT) < 0 ? timeout : MAX_TIMEOUT;
    }
}
