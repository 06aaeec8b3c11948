package io.damaskyoke.standins;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/** Runs so many generations at once; the others wait in the order they came. */
final class Batch {
    private final int limit;
    private final ArrayDeque<Generation> waiting = new ArrayDeque<>();
    private final Set<Generation> running = new HashSet<>();

    Batch(int limit) {
        this.limit = limit;
    }

    void add(Generation generation) {
        synchronized (this) {
            waiting.add(generation);
        }
        startNext();
    }

    /** Takes out one that ended or was cancelled, running or not. */
    void remove(Generation generation) {
        synchronized (this) {
            running.remove(generation);
            waiting.remove(generation);
        }
        startNext();
    }

    synchronized int running() {
        return running.size();
    }

    synchronized int waiting() {
        return waiting.size();
    }

    private void startNext() {
        Generation next = next();
        while (next != null) {
            next.run();
            next = next();
        }
    }

    private synchronized Generation next() {
        if (waiting.isEmpty() || running.size() >= limit) {
            return null;
        }
        Generation next = waiting.removeFirst();
        running.add(next);
        return next;
    }
}
