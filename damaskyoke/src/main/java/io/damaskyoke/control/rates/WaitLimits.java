package io.damaskyoke.control.rates;

import java.time.Duration;

/**
 * Limits how long a request may wait for tokens, counted from now.
 *
 * @param inTime longest wait after which its answer can still meet the caller's latency objective
 * @param longest longest wait at all, after which it is refused
 */
public record WaitLimits(Duration inTime, Duration longest) {
    /** Checks that both times are not negative. */
    public WaitLimits {
        if (inTime.isNegative() || longest.isNegative()) {
            throw new IllegalArgumentException(
                    "a wait must not be negative: in time " + inTime + ", longest " + longest);
        }
    }
}
