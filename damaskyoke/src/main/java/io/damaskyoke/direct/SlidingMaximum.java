package io.damaskyoke.direct;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.IntSupplier;

/**
 * The largest that a number has been within a window.
 *
 * <p>The entries of all routers may lapse in an outage of the store. Each then counts itself alone
 * until the others are back, and would take the whole of what all of them share.
 */
final class SlidingMaximum {
    private final IntSupplier number;
    private final InstantSource clock;
    private final Duration window;
    private int most;
    private Instant until = Instant.MIN;

    SlidingMaximum(IntSupplier number, InstantSource clock, Duration window) {
        this.number = number;
        this.clock = clock;
        this.window = window;
    }

    /** The largest; call it often, for it sees the number only then. */
    int value() {
        int now = number.getAsInt();
        Instant at = clock.instant();
        if (now >= most || !at.isBefore(until)) {
            most = now;
            until = at.plus(window);
        }
        return most;
    }
}
