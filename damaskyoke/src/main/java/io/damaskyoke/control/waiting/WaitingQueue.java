package io.damaskyoke.control.waiting;

import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Requests that wait for the same thing, such as a model: {@code queue.next(now)} has the next turn
 * by the queue's {@link TurnOrder}. Finding it takes time in proportion to the workspaces that
 * wait, and removing a request in proportion to the requests of its workspace.
 */
public final class WaitingQueue<R extends WaitingRequest> {
    private final TurnOrder order;
    private final Map<Optional<WorkspaceId>, TreeSet<Entry<R>>> byWorkspace = new HashMap<>(2);

    /** Creates an empty queue with the order of its service. */
    public WaitingQueue(TurnOrder order) {
        this.order = order;
    }

    /** Adds a request; {@code sequence} grows with each request of the service. */
    public void add(R request, long sequence, Instant now) {
        Instant sendBy = order.isFair() ? request.onTimeSendDeadline() : Instant.MAX;
        byWorkspace
                .computeIfAbsent(flow(request), any -> new TreeSet<>())
                .add(new Entry<>(request, request.priority(), sendBy, sequence, now));
    }

    /** Removes a request; returns false if it does not wait here. */
    public boolean remove(R request) {
        TreeSet<Entry<R>> entries = byWorkspace.get(flow(request));
        if (entries == null || !entries.removeIf(entry -> entry.request() == request)) {
            return false;
        }
        if (entries.isEmpty()) {
            byWorkspace.remove(flow(request));
        }
        return true;
    }

    /** Returns the request that has the next turn; null if none waits. */
    public Turn<R> next(Instant now) {
        Turn<R> best = null;
        for (TreeSet<Entry<R>> entries : byWorkspace.values()) {
            Turn<R> turn = nextOf(entries, now);
            if (best == null || turn.compareTo(best) < 0) {
                best = turn;
            }
        }
        return best;
    }

    /** Returns true if no request waits here. */
    public boolean isEmpty() {
        return byWorkspace.isEmpty();
    }

    /** Returns since when the oldest request has waited; empty if none waits. */
    public Optional<Instant> oldestQueuedAt() {
        return byWorkspace.values().stream()
                .flatMap(TreeSet::stream)
                .map(Entry::queuedAt)
                .min(Comparator.naturalOrder());
    }

    /** Runs the action for each waiting request, in no particular order. */
    public void forEach(Consumer<? super R> action) {
        byWorkspace
                .values()
                .forEach(entries -> entries.forEach(entry -> action.accept(entry.request())));
    }

    /** Returns a queue with the same requests in another order. */
    public WaitingQueue<R> reordered(TurnOrder other) {
        WaitingQueue<R> queue = new WaitingQueue<>(other);
        byWorkspace
                .values()
                .forEach(
                        entries ->
                                entries.forEach(
                                        each ->
                                                queue.add(
                                                        each.request(),
                                                        each.sequence(),
                                                        each.queuedAt())));
        return queue;
    }

    // The entries are sorted by the deadline for an answer in time, so the late ones of a priority
    // come first and are skipped.
    private Turn<R> nextOf(TreeSet<Entry<R>> entries, Instant now) {
        Entry<R> first = entries.first();
        boolean late = first.sendBy().isBefore(now);
        if (late) {
            Entry<R> inTime =
                    entries.ceiling(new Entry<>(null, first.priority(), now, Long.MIN_VALUE, now));
            if (inTime != null && inTime.priority() == first.priority()) {
                first = inTime;
                late = false;
            }
        }
        return new Turn<>(
                first.request(),
                late,
                order.nextStart(first.request()),
                first.sendBy(),
                first.sequence(),
                first.queuedAt());
    }

    private Optional<WorkspaceId> flow(R request) {
        return order.isFair() ? request.workspace() : Optional.empty();
    }

    /** A waiting request; its fields must not change while it waits. */
    private record Entry<R>(
            R request, int priority, Instant sendBy, long sequence, Instant queuedAt)
            implements Comparable<Entry<R>> {
        private static final Comparator<Entry<?>> ORDER =
                Comparator.comparingInt((Entry<?> entry) -> entry.priority())
                        .thenComparing(Entry::sendBy)
                        .thenComparingLong(Entry::sequence);

        @Override
        public int compareTo(Entry<R> other) {
            return ORDER.compare(this, other);
        }
    }
}
