package io.damaskyoke.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A simulated store of model weights, whose loads slow down when too many run at once. */
final class SimulatedWeightStore {
    private static final double NANOS = 1e9;

    private final int atFullSpeed;
    private final List<Load> running = new ArrayList<>();
    private int started;
    private int maxConcurrent;

    private static final class Load {
        private double secondsLeft;
        private final Runnable done;

        private Load(Duration time, Runnable done) {
            this.secondsLeft = time.toNanos() / NANOS;
            this.done = done;
        }
    }

    SimulatedWeightStore(int atFullSpeed) {
        this.atFullSpeed = atFullSpeed;
    }

    void startLoad(Duration time, Runnable done) {
        started++;
        Load load = new Load(time, done);
        running.add(load);
        maxConcurrent = Math.max(maxConcurrent, running.size());
    }

    int loadsStarted() {
        return started;
    }

    /** Returns the largest number of loads that ran at the same time. */
    int maxConcurrentLoads() {
        return maxConcurrent;
    }

    /** Advances the running loads by the given time. */
    void advance(Duration step) {
        double speed = Math.min(1, atFullSpeed / (double) Math.max(1, running.size()));
        double seconds = step.toNanos() / NANOS * speed;
        running.forEach(load -> load.secondsLeft -= seconds);
        List<Load> done = running.stream().filter(load -> load.secondsLeft <= 0).toList();
        running.removeAll(done);
        done.forEach(load -> load.done.run());
    }
}
