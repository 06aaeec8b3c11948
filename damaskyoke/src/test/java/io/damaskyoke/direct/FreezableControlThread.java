package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * A control thread on a VM that can be frozen: steps wait meanwhile, and timers continue with the
 * time that they had left, as they do on a real VM.
 */
final class FreezableControlThread implements ControlThread {
    private final ControlThread world;
    private final List<Runnable> parked = new ArrayList<>();
    private Duration lost = Duration.ZERO;
    private Instant frozenAt;

    FreezableControlThread(ControlThread world) {
        this.world = world;
    }

    boolean frozen() {
        return frozenAt != null;
    }

    void freeze() {
        frozenAt = world.clock().instant();
    }

    void unfreeze() {
        lost = lost.plus(Duration.between(frozenAt, world.clock().instant()));
        frozenAt = null;
        List<Runnable> waited = List.copyOf(parked);
        parked.clear();
        waited.forEach(this::run);
    }

    @Override
    public void run(Runnable step) {
        if (frozen()) {
            parked.add(step);
        } else {
            world.run(step);
        }
    }

    @Override
    public <T> CompletionStage<T> call(Supplier<T> step) {
        CompletableFuture<T> result = new CompletableFuture<>();
        run(() -> result.complete(step.get()));
        return result;
    }

    @Override
    public Cancellable after(Duration delay, Runnable step) {
        boolean[] off = new boolean[1];
        arm(running().plus(delay), step, off);
        return () -> off[0] = true;
    }

    @Override
    public Cancellable every(Duration period, Runnable step) {
        boolean[] off = new boolean[1];
        again(period, step, off);
        return () -> off[0] = true;
    }

    @Override
    public InstantSource clock() {
        return world.clock();
    }

    private void again(Duration period, Runnable step, boolean[] off) {
        Runnable turn =
                () -> {
                    step.run();
                    again(period, step, off);
                };
        arm(running().plus(period), turn, off);
    }

    private void arm(Instant due, Runnable step, boolean[] off) {
        world.after(Duration.between(running(), due), () -> run(() -> fire(due, step, off)));
    }

    private void fire(Instant due, Runnable step, boolean[] off) {
        if (off[0]) {
            return;
        }
        if (running().isBefore(due)) {
            arm(due, step, off);
        } else {
            step.run();
        }
    }

    // The time on a clock that stops while the VM is frozen.
    private Instant running() {
        Instant now = frozen() ? frozenAt : world.clock().instant();
        return now.minus(lost);
    }
}
