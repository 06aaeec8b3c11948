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
    private final List<Runnable> pendingSteps = new ArrayList<>();
    private Duration frozenTime = Duration.ZERO;
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
        frozenTime = frozenTime.plus(Duration.between(frozenAt, world.clock().instant()));
        frozenAt = null;
        List<Runnable> steps = List.copyOf(pendingSteps);
        pendingSteps.clear();
        steps.forEach(this::run);
    }

    @Override
    public void run(Runnable step) {
        if (frozen()) {
            pendingSteps.add(step);
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
        boolean[] cancelled = new boolean[1];
        schedule(vmTime().plus(delay), step, cancelled);
        return () -> cancelled[0] = true;
    }

    @Override
    public Cancellable every(Duration period, Runnable step) {
        boolean[] cancelled = new boolean[1];
        scheduleNext(period, step, cancelled);
        return () -> cancelled[0] = true;
    }

    @Override
    public InstantSource clock() {
        return world.clock();
    }

    private void scheduleNext(Duration period, Runnable step, boolean[] cancelled) {
        Runnable repeated =
                () -> {
                    step.run();
                    scheduleNext(period, step, cancelled);
                };
        schedule(vmTime().plus(period), repeated, cancelled);
    }

    private void schedule(Instant due, Runnable step, boolean[] cancelled) {
        world.after(
                Duration.between(vmTime(), due), () -> run(() -> runIfDue(due, step, cancelled)));
    }

    private void runIfDue(Instant due, Runnable step, boolean[] cancelled) {
        if (cancelled[0]) {
            return;
        }
        if (vmTime().isBefore(due)) {
            schedule(due, step, cancelled);
        } else {
            step.run();
        }
    }

    // The time on a clock that stops while the VM is frozen.
    private Instant vmTime() {
        Instant now = frozen() ? frozenAt : world.clock().instant();
        return now.minus(frozenTime);
    }
}
