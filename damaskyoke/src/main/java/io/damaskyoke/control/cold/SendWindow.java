package io.damaskyoke.control.cold;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;

/** Counts the requests that were sent within a recent period or are about to be sent. */
final class SendWindow {
    private final ArrayDeque<Instant> sentAt = new ArrayDeque<>();
    private int pending;

    /** Records that a request is about to be sent: a connection may still have to be opened. */
    void sendStarted() {
        pending++;
    }

    /** Records that the request was sent. */
    void requestSent(Instant now) {
        pending--;
        sentAt.add(now);
    }

    /** Records that the request will not be sent. */
    void sendCanceled() {
        pending--;
    }

    /**
     * Returns the number of requests about to be sent or sent within this time; removes older ones.
     */
    int count(Duration length, Instant now) {
        Instant from = now.minus(length);
        while (!sentAt.isEmpty() && !sentAt.peek().isAfter(from)) {
            sentAt.remove();
        }
        return pending + sentAt.size();
    }

    /** Removes the requests that were sent. */
    void clear() {
        sentAt.clear();
    }
}
