package io.damaskyoke.control;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Runs tasks, called steps, one at a time on the single thread that owns all control state of a
 * process. Threads that carry traffic submit steps and never block on them: {@code control.call(()
 * -> limits.admit(request)).thenCompose(...)}.
 */
public interface ControlThread {
    /** Runs the step on the control thread, after the steps submitted earlier. */
    void run(Runnable step);

    /** Runs the step on the control thread; the returned stage completes with its result. */
    <T> CompletionStage<T> call(Supplier<T> step);

    /** Schedules the step to run once on the control thread, after the delay. */
    Cancellable after(Duration delay, Runnable step);

    /** Schedules the step to run periodically on the control thread, first after one period. */
    Cancellable every(Duration period, Runnable step);

    /**
     * Returns the clock of this process, which never goes backwards, so that durations are exact.
     */
    InstantSource clock();

    /** A scheduled step that can be cancelled. */
    @FunctionalInterface
    interface Cancellable {
        /** Cancels the scheduled step; has no effect on a step that has already run. */
        void cancel();
    }
}
