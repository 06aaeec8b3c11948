package io.damaskyoke.control;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that starts at the VM's wall-clock time and then advances with its monotonic counter.
 *
 * <p>Setting a wall clock back lengthens every lease and deadline, and setting it forward shortens
 * them, so that requests are served too late or refused too early. The monotonic counter is never
 * set, so durations measured on this clock are not affected.
 */
public final class MonotonicClock implements InstantSource {
    private final Instant start;
    private final long startNanos;

    private MonotonicClock(Instant start, long startNanos) {
        this.start = start;
        this.startNanos = startNanos;
    }

    /** Starts a clock at the current time of the system. */
    public static MonotonicClock start() {
        return new MonotonicClock(Instant.now(), System.nanoTime());
    }

    @Override
    public Instant instant() {
        return start.plusNanos(System.nanoTime() - startNanos);
    }
}
