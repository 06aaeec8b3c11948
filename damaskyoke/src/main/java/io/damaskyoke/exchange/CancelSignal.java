package io.damaskyoke.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Signals that the caller of a request has disconnected; thread-safe, and never reset.
 *
 * <p>The caller side calls {@code signal.cancel()}; the dispatcher registers its actions with
 * {@code signal.onCancel(() -> queue.remove(request))}. Once the dispatch is answered the signal
 * has no effect: from then on the body of the answer is cancelled instead.
 */
public final class CancelSignal {
    private final List<Runnable> actions = new ArrayList<>();
    private boolean cancelled;

    /** Runs every registered action once, on this thread; a second call does nothing. */
    public void cancel() {
        for (Runnable action : takeActions()) {
            action.run();
        }
    }

    /**
     * Registers an action to run on cancellation; runs it at once if already cancelled. It runs on
     * the thread that cancels, so it must be short and must not throw.
     */
    public void onCancel(Runnable action) {
        Objects.requireNonNull(action, "action");
        if (!addIfActive(action)) {
            action.run();
        }
    }

    /** Returns true once cancelled. */
    public synchronized boolean cancelled() {
        return cancelled;
    }

    private synchronized List<Runnable> takeActions() {
        cancelled = true;
        List<Runnable> pending = List.copyOf(actions);
        actions.clear();
        return pending;
    }

    private synchronized boolean addIfActive(Runnable action) {
        if (cancelled) {
            return false;
        }
        return actions.add(action);
    }
}
