package io.damaskyoke.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Tells whoever works on a request that its caller has gone; thread-safe, and never taken back.
 *
 * <p>The caller side calls {@code signal.cancel()}; the dispatcher has said before what to do then:
 * {@code signal.onCancel(() -> queue.remove(request))}. Once the dispatch is answered the signal
 * says nothing more: from then on the body of the answer is cancelled instead.
 */
public final class CancelSignal {
    private final List<Runnable> actions = new ArrayList<>();
    private boolean cancelled;

    /** Runs every action given so far, once, on this thread; the second call does nothing. */
    public void cancel() {
        for (Runnable action : close()) {
            action.run();
        }
    }

    /**
     * Gives an action for the moment of the cancel; runs it at once if that is over. It runs on the
     * thread that cancels, so it must be short and must not throw.
     */
    public void onCancel(Runnable action) {
        Objects.requireNonNull(action, "action");
        if (!added(action)) {
            action.run();
        }
    }

    /** True once cancelled. */
    public synchronized boolean cancelled() {
        return cancelled;
    }

    private synchronized List<Runnable> close() {
        cancelled = true;
        List<Runnable> due = List.copyOf(actions);
        actions.clear();
        return due;
    }

    private synchronized boolean added(Runnable action) {
        if (cancelled) {
            return false;
        }
        return actions.add(action);
    }
}
