package io.damaskyoke.control.waiting;

import java.time.Instant;
import java.util.Comparator;

/**
 * The next request of a queue, comparable with the next of another queue of the service.
 *
 * @param request the request that is sent next
 * @param late whether the request can no longer be answered in time
 * @param start the virtual start time of its workspace's next turn
 * @param sendBy when it must be sent to be answered in time
 * @param sequence its place in the order of arrival
 * @param queuedAt when it was queued
 */
public record Turn<R extends WaitingRequest>(
        R request, boolean late, double start, Instant sendBy, long sequence, Instant queuedAt)
        implements Comparable<Turn<R>> {
    private static final Comparator<Turn<?>> ORDER =
            Comparator.comparingInt((Turn<?> turn) -> turn.request().priority())
                    .thenComparing(Turn::late)
                    .thenComparingDouble(Turn::start)
                    .thenComparing(Turn::sendBy)
                    .thenComparingLong(Turn::sequence);

    @Override
    public int compareTo(Turn<R> other) {
        return ORDER.compare(this, other);
    }
}
