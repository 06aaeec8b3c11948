package io.damaskyoke.direct;

import io.damaskyoke.control.Control;
import java.time.Duration;

/**
 * Puts requests off that were read by a thread which is behind, until it has looked at its sockets
 * once more: {@code backlog.pass(step)}.
 *
 * <p>A small VM may be held for most of a second. What it reads then came long ago, and many of
 * those callers have left; their connections' ends are read only in the next look. Served at once,
 * requests would reach upstreams that nobody waits for any longer.
 */
final class Backlog {
    /** The next look at the sockets comes before any step that is due later. */
    private static final Duration NEXT_LOOK = Duration.ofMillis(1);

    private final Control control;
    private final LoopLag lag;

    Backlog(Control control, LoopLag lag) {
        this.control = control;
        this.lag = lag;
    }

    /** Runs the step now, or after the next look if the thread is behind. */
    void pass(Runnable step) {
        if (lag.behind(control.clock().instant())) {
            control.after(NEXT_LOOK, step);
        } else {
            step.run();
        }
    }
}
