package io.damaskyoke.standins;

import java.util.ArrayDeque;

/**
 * Loads that share a speed: up to some number go at full speed, more slow each other down in
 * proportion.
 *
 * <p>All loads are of one size, so they end in the order of their starts; it is enough to keep how
 * much work each has had (the virtual time) when it ends. Times are in nanoseconds of any clock
 * that never goes back.
 */
final class SharedSpeed {
    private final int fullSpeedLoads;
    private final double work;
    private final ArrayDeque<Load> loads = new ArrayDeque<>();
    private double factor = 1;
    private double virtual;
    private long last;

    private record Load(double endsAt, Runnable onEnd) {}

    SharedSpeed(int fullSpeedLoads, long workNanos) {
        this.fullSpeedLoads = fullSpeedLoads;
        this.work = workNanos;
    }

    void start(long now, Runnable onEnd) {
        advance(now);
        loads.add(new Load(virtual + work, onEnd));
    }

    /** Makes each load take this many times longer from now on. */
    void slow(long now, double times) {
        advance(now);
        factor = times;
    }

    int inFlight() {
        return loads.size();
    }

    /** Ends the loads that are through; gives the nanoseconds to the next end, or -1 for none. */
    long run(long now) {
        advance(now);
        while (!loads.isEmpty() && loads.getFirst().endsAt() <= virtual + 1) {
            loads.removeFirst().onEnd().run();
        }
        if (loads.isEmpty()) {
            return -1;
        }
        return (long) Math.ceil((loads.getFirst().endsAt() - virtual) / speed());
    }

    private void advance(long now) {
        virtual += (now - last) * speed();
        last = now;
    }

    private double speed() {
        return Math.min(1.0, (double) fullSpeedLoads / Math.max(1, loads.size())) / factor;
    }
}
