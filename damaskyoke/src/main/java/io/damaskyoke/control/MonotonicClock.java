package io.damaskyoke.control;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that starts at the VM's time and then only follows its monotonic counter.
 *
 * <p>A wall clock that is set back would lengthen every lease and deadline, and one that is set
 * forward would cut them; either shows as requests refused too early or served too late. Durations
 * taken on this clock are free of both, since nothing sets the counter.
 */
public final class MonotonicClock implements InstantSource {
    private final Instant start;
    private final long startNanos;

    private MonotonicClock(Instant start, long startNanos) {
        this.start = start;
        this.startNanos = startNanos;
    }

    /** Starts a clock at the system's present time. */
    public static MonotonicClock start() {
        return new MonotonicClock(Instant.now(), System.nanoTime());
    }

    @Override
    public Instant instant() {
        return start.plusNanos(System.nanoTime() - startNanos);
    }
}
