package io.damaskyoke.control.cold;

import java.time.Duration;

/**
 * The rate of requests that a cold upstream of a service can serve.
 *
 * @param duration how long an upstream is cold after its start; zero if it never is
 * @param perSecond maximum number of requests in any second, from all routers together
 */
public record ColdLimit(Duration duration, double perSecond) {
    /** The limit for upstreams that can serve their full rate from the start. */
    public static final ColdLimit NONE = new ColdLimit(Duration.ZERO, 0);

    /** Rejects negative values. */
    public ColdLimit {
        if (duration.isNegative() || perSecond < 0) {
            throw new IllegalArgumentException(
                    "the cold time and rate of an upstream must not be negative: "
                            + duration
                            + ", "
                            + perSecond);
        }
    }

    /** Returns true if upstreams of the service are never cold. */
    public boolean isNone() {
        return duration.isZero() || perSecond == 0;
    }
}
