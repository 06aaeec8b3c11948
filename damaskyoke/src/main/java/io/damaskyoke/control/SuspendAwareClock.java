package io.damaskyoke.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * A clock that never goes backwards and that counts the time for which the VM was suspended.
 *
 * <p>The monotonic counter stops while a VM is suspended. A lease that expired meanwhile would
 * still look valid on resume, and its holder would act as leader beside its successor. Only the
 * time of day shows the pause, so this clock adds every forward jump of the time of day relative to
 * the counter. If the jump came from setting the system clock, leases expire early, which is safe.
 * For what is not safe earlier, see {@link #steady}.
 */
public final class SuspendAwareClock implements InstantSource {
    /** Smaller differences are drift and scheduling; leases have a margin of 0.1 s. */
    private static final Duration MIN_JUMP = Duration.ofMillis(150);

    private final LongSupplier counter;
    private final InstantSource timeOfDay;
    private final long startNanos;
    private final Instant start;
    private long suspendedNanos;
    private long offsetNanos;

    /** Creates a clock from a monotonic counter in nanoseconds and a time-of-day clock. */
    public SuspendAwareClock(LongSupplier counter, InstantSource timeOfDay) {
        this.counter = counter;
        this.timeOfDay = timeOfDay;
        this.startNanos = counter.getAsLong();
        this.start = timeOfDay.instant();
    }

    /** Starts a clock on the monotonic counter and the time of day of this VM. */
    public static SuspendAwareClock start() {
        return new SuspendAwareClock(System::nanoTime, Clock.systemUTC());
    }

    /**
     * Returns the same clock without jumps: it counts neither the time for which the VM was
     * suspended nor changes of the time of day. What accrues over time, such as the tokens of a
     * rate, must not come earlier because the system clock was set.
     */
    public InstantSource steady() {
        return () -> start.plusNanos(counter.getAsLong() - startNanos);
    }

    @Override
    public synchronized Instant instant() {
        long elapsed = counter.getAsLong() - startNanos;
        long offset = Duration.between(start, timeOfDay.instant()).toNanos() - elapsed;
        long jump = offset - offsetNanos;
        if (Math.abs(jump) >= MIN_JUMP.toNanos()) {
            suspendedNanos += Math.max(0, jump);
        }
        offsetNanos = offset;
        return start.plusNanos(elapsed + suspendedNanos);
    }
}
