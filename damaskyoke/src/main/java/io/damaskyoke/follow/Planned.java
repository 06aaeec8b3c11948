package io.damaskyoke.follow;

import io.damaskyoke.control.ControlThread;
import java.time.Duration;
import java.time.Instant;

/**
 * One step that is planned, and whether its time is over by the clock: a timer ends as much later
 * as the VM stood still, and what came meanwhile would wait for it.
 */
final class Planned {
    private final ControlThread control;
    private ControlThread.Cancellable timer = () -> {};
    private Instant due = Instant.MAX;

    Planned(ControlThread control) {
        this.control = control;
    }

    /** Plans a step, in place of one that was planned before. */
    void in(Duration pause, Runnable step) {
        cancel();
        due = control.clock().instant().plus(pause);
        timer = control.after(pause, step);
    }

    void cancel() {
        timer.cancel();
        due = Instant.MAX;
    }

    /** True if nothing is planned, or if it should have run some time ago. */
    boolean missing(Duration late) {
        return due.equals(Instant.MAX) || !control.clock().instant().isBefore(due.plus(late));
    }
}
