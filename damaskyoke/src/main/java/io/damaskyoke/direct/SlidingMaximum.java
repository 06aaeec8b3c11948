package io.damaskyoke.direct;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.IntSupplier;

/**
 * The maximum of a number over a sliding time window.
 *
 * <p>It is used for the number of routers. All of their entries may expire in an outage of the
 * store; each router would then count only itself until the others are back, and take the whole of
 * what all of them share.
 */
final class SlidingMaximum {
    private final IntSupplier number;
    private final InstantSource clock;
    private final Duration window;
    private int maximum;
    private Instant until = Instant.MIN;

    SlidingMaximum(IntSupplier number, InstantSource clock, Duration window) {
        this.number = number;
        this.clock = clock;
        this.window = window;
    }

    /** Returns the maximum; the number is read only in these calls, so call it often. */
    int value() {
        int now = number.getAsInt();
        Instant at = clock.instant();
        if (now >= maximum || !at.isBefore(until)) {
            maximum = now;
            until = at.plus(window);
        }
        return maximum;
    }
}
