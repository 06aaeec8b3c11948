package io.damaskyoke.follow;

import io.damaskyoke.control.ControlThread;
import java.time.Duration;
import java.time.Instant;

/**
 * A timer for at most one step, which also tells by the clock whether the step is overdue. A timer
 * fires late by as long as the VM was paused, and changes made meanwhile would wait for it.
 */
final class StepTimer {
    private final ControlThread control;
    private ControlThread.Cancellable timer = () -> {};
    private Instant due = Instant.MAX;

    StepTimer(ControlThread control) {
        this.control = control;
    }

    /** Schedules a step and cancels the one scheduled before. */
    void schedule(Duration pause, Runnable step) {
        cancel();
        due = control.clock().instant().plus(pause);
        timer = control.after(pause, step);
    }

    void cancel() {
        timer.cancel();
        due = Instant.MAX;
    }

    /** Returns true if no step is scheduled, or if it is overdue by at least {@code late}. */
    boolean isMissingOrOverdue(Duration late) {
        return due.equals(Instant.MAX) || !control.clock().instant().isBefore(due.plus(late));
    }
}
