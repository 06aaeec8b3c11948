package io.damaskyoke.caller;

import io.damaskyoke.exchange.CancelSignal;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.Done;

/**
 * What one caller connection is doing: reading a head, or answering requests. Shared between its
 * {@link ConnectionGuard} and the handler of its requests; thread-safe.
 */
final class ConnectionState {
    private final Set<CancelSignal> open = new HashSet<>();
    private final Set<CancelSignal> waiting = new HashSet<>();
    private final CompletableFuture<Done> over = new CompletableFuture<>();
    private boolean reading;
    private boolean closed;
    private boolean plainEnd;
    private boolean draining;
    private Runnable onDrained = () -> {};

    /** Notes bytes from the caller; true if they are the first of a new head. */
    synchronized boolean received() {
        if (!open.isEmpty() || reading) {
            return false;
        }
        reading = true;
        return true;
    }

    /** Notes that a head is complete; the signal is cancelled if the connection ends too early. */
    CancelSignal begin(boolean endsByClose) {
        CancelSignal gone = new CancelSignal();
        if (!opened(gone, endsByClose)) {
            gone.cancel();
        }
        return gone;
    }

    /** Notes that an answer is about to begin. */
    synchronized void answering(CancelSignal gone) {
        waiting.remove(gone);
    }

    /** Notes that an answer is over, whole or not. */
    void end(CancelSignal gone) {
        synchronized (this) {
            open.remove(gone);
        }
        stopIfDrained();
    }

    /** Ends the connection, and with it what is open on it. */
    void close() {
        Set<CancelSignal> cut;
        synchronized (this) {
            closed = true;
            cut = Set.copyOf(open);
            open.clear();
            waiting.clear();
        }
        cut.forEach(CancelSignal::cancel);
        over.complete(Done.getInstance());
    }

    /** Completes when the connection has ended, in whatever way. */
    CompletionStage<Done> over() {
        return over;
    }

    /** What to do when the connection is to stop and nothing is open on it any more. */
    void onDrained(Runnable action) {
        synchronized (this) {
            onDrained = action;
        }
        stopIfDrained();
    }

    /** Takes no new work; the connection stops once what is open has been answered. */
    void drain() {
        synchronized (this) {
            draining = true;
        }
        stopIfDrained();
    }

    /** True while a head is coming in. */
    synchronized boolean reading() {
        return reading && open.isEmpty();
    }

    /** True while nothing is coming in and nothing is being answered. */
    synchronized boolean idle() {
        return !reading && open.isEmpty();
    }

    /** True while requests wait and no byte of an answer is on its way. */
    synchronized boolean onlyWaiting() {
        return !waiting.isEmpty() && waiting.size() == open.size();
    }

    /** True if the caller can tell the end of its answer only by the end of the connection. */
    synchronized boolean endsByClose() {
        return plainEnd;
    }

    private synchronized boolean opened(CancelSignal gone, boolean endsByClose) {
        reading = false;
        plainEnd = endsByClose;
        if (closed) {
            return false;
        }
        waiting.add(gone);
        return open.add(gone);
    }

    private void stopIfDrained() {
        Runnable action;
        synchronized (this) {
            action = draining && idle() ? onDrained : () -> {};
        }
        action.run();
    }
}
