package io.damaskyoke.control.rates;

import java.time.Duration;

/**
 * How long a request may wait for tokens, from now on.
 *
 * @param inTime so long that its answer can still come within the caller's objective
 * @param longest so long at all; then it is refused
 */
public record Wait(Duration inTime, Duration longest) {
    /** Refuses negative times. */
    public Wait {
        if (inTime.isNegative() || longest.isNegative()) {
            throw new IllegalArgumentException("a wait is never negative: " + inTime + longest);
        }
    }
}
