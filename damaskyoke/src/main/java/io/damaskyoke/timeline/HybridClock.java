package io.damaskyoke.timeline;

import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Gives times that respect cause and effect between processes whose clocks differ: every frame
 * carries the sender's time, and whoever receives it goes on from there.
 */
public final class HybridClock {
    private static final int COUNTER_BITS = 16;

    private final InstantSource wall;
    private final AtomicLong last = new AtomicLong();

    private HybridClock(InstantSource wall) {
        this.wall = wall;
    }

    /** A clock over this wall clock. */
    public static HybridClock over(InstantSource wall) {
        return new HybridClock(wall);
    }

    /** A time later than all given or heard of before. */
    public HybridTime now() {
        long present = wall.millis() << COUNTER_BITS;
        return new HybridTime(last.updateAndGet(before -> Math.max(before + 1, present)));
    }

    /** Takes note of a time that came with a frame. */
    public void heard(long packed) {
        last.accumulateAndGet(packed, Math::max);
    }
}
