package io.damaskyoke.control.cold;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;

/** Counts the requests that were sent within a recent period or are about to be sent. */
final class SendWindow {
    private final ArrayDeque<Instant> left = new ArrayDeque<>();
    private int leaving;

    /** Records that a request is about to be sent: a connection may still have to be opened. */
    void sendStarted() {
        leaving++;
    }

    /** Records that the request was sent. */
    void requestSent(Instant now) {
        leaving--;
        left.add(now);
    }

    /** Records that the request will not be sent. */
    void sendCanceled() {
        leaving--;
    }

    /**
     * Returns the number of requests about to be sent or sent within this time; removes older ones.
     */
    int count(Duration length, Instant now) {
        Instant from = now.minus(length);
        while (!left.isEmpty() && !left.peek().isAfter(from)) {
            left.remove();
        }
        return leaving + left.size();
    }

    /** Removes the requests that were sent. */
    void clear() {
        left.clear();
    }
}
