package io.damaskyoke.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * A clock that never steps back and also moves on while the VM is suspended.
 *
 * <p>The monotonic counter stands still while a VM is frozen, so a lease that ran out meanwhile
 * still looks valid after the thaw, and its holder goes on giving orders beside the next one. Only
 * the time of day shows the pause. So a leap of the time of day against the counter is added here;
 * a leap that was a mere setting of the clock makes leases end early, which is the safe side.
 */
public final class SuspendAwareClock implements InstantSource {
    /** Smaller differences are drift and scheduling; leases have a tenth of seconds to spare. */
    private static final Duration LEAST_LEAP = Duration.ofMillis(150);

    private final LongSupplier counter;
    private final InstantSource timeOfDay;
    private final long startNanos;
    private final Instant start;
    private long leapNanos;
    private long offsetNanos;

    /** A clock over a monotonic counter in nanoseconds and a time of day. */
    public SuspendAwareClock(LongSupplier counter, InstantSource timeOfDay) {
        this.counter = counter;
        this.timeOfDay = timeOfDay;
        this.startNanos = counter.getAsLong();
        this.start = timeOfDay.instant();
    }

    /** A clock over this VM's own counter and time of day. */
    public static SuspendAwareClock start() {
        return new SuspendAwareClock(System::nanoTime, Clock.systemUTC());
    }

    @Override
    public synchronized Instant instant() {
        long elapsed = counter.getAsLong() - startNanos;
        long offset = Duration.between(start, timeOfDay.instant()).toNanos() - elapsed;
        long leap = offset - offsetNanos;
        if (Math.abs(leap) >= LEAST_LEAP.toNanos()) {
            leapNanos += Math.max(0, leap);
        }
        offsetNanos = offset;
        return start.plusNanos(elapsed + leapNanos);
    }
}
