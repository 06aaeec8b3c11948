package io.damaskyoke.router;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.TestControlThread;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/** The control thread of a simulated process that can end and can be frozen. */
public final class SimulatedProcess implements ControlThread {
    private final TestControlThread control;
    private boolean ended;
    private Instant frozenUntil = Instant.MIN;

    SimulatedProcess(TestControlThread control) {
        this.control = control;
    }

    void end() {
        ended = true;
    }

    /** Returns true once the process has ended. */
    public boolean hasEnded() {
        return ended;
    }

    /** Freezes the process for the given time; steps due meanwhile run right after it. */
    public void freeze(Duration time) {
        Instant end = control.clock().instant().plus(time);
        frozenUntil = end.isAfter(frozenUntil) ? end : frozenUntil;
    }

    /** Returns true while the process is frozen. */
    public boolean isFrozen() {
        return control.clock().instant().isBefore(frozenUntil);
    }

    /** Returns true while the process is frozen, and for the given time after that. */
    public boolean wasFrozenWithin(Duration time) {
        return control.clock().instant().isBefore(frozenUntil.plus(time));
    }

    @Override
    public void run(Runnable step) {
        control.run(whileAlive(step));
    }

    @Override
    public <T> CompletionStage<T> call(Supplier<T> step) {
        return control.call(step);
    }

    @Override
    public Cancellable after(Duration delay, Runnable step) {
        return control.after(delay, whileAlive(step));
    }

    @Override
    public Cancellable every(Duration period, Runnable step) {
        return control.every(period, whileAlive(step));
    }

    @Override
    public InstantSource clock() {
        return control.clock();
    }

    private Runnable whileAlive(Runnable step) {
        return () -> {
            if (!ended && isFrozen()) {
                Instant now = control.clock().instant();
                control.after(Duration.between(now, frozenUntil), whileAlive(step));
            } else if (!ended) {
                step.run();
            }
        };
    }
}
