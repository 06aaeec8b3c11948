package io.damaskyoke.control;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * The one thread that owns all control state of a process. Traffic threads hand steps over and
 * never wait for them: {@code control.ask(() -> limits.admit(request)).thenCompose(...)}.
 */
public interface Control {
    /** Runs the step on the control thread, after those handed over before. */
    void run(Runnable step);

    /** Runs the step on the control thread and gives what it returned. */
    <T> CompletionStage<T> ask(Supplier<T> step);

    /** Runs the step on the control thread once, after the delay. */
    Cancellable after(Duration delay, Runnable step);

    /** Runs the step on the control thread again and again, first after one period. */
    Cancellable every(Duration period, Runnable step);

    /** The clock of this process: never steps back, so that durations on it are real. */
    InstantSource clock();

    /** Something that can be called off. */
    @FunctionalInterface
    interface Cancellable {
        /** Calls it off; harmless if it has run. */
        void cancel();
    }
}
