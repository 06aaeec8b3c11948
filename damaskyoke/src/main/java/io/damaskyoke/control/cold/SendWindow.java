package io.damaskyoke.control.cold;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;

/** How many requests have left, or are about to leave, within a time up to now. */
final class SendWindow {
    private final ArrayDeque<Instant> left = new ArrayDeque<>();
    private int leaving;

    /** A request is about to leave: a connection may still have to open. */
    void begins() {
        leaving++;
    }

    /** It has left. */
    void leaves(Instant now) {
        leaving--;
        left.add(now);
    }

    /** It will not leave. */
    void calledOff() {
        leaving--;
    }

    /** Counts those of so long; what left before that is forgotten. */
    int count(Duration length, Instant now) {
        Instant from = now.minus(length);
        while (!left.isEmpty() && !left.peek().isAfter(from)) {
            left.remove();
        }
        return leaving + left.size();
    }

    /** Forgets those that have left. */
    void clear() {
        left.clear();
    }
}
