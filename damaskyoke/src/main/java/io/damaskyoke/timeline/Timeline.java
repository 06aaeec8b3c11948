package io.damaskyoke.timeline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The last events of a process, in two rings of fixed size; thread-safe.
 *
 * <p>{@code timeline.add(EventType.LOADED, "cut-sheet", Map.of("ms", "812"))}
 *
 * <p>At 40 requests a second, a common ring of 2,000 events would be full of requests within 20
 * seconds, and an operator who asks why a zone failed a minute ago would find nothing. Changes of
 * state therefore have a ring of their own, which no number of requests can flush.
 */
public final class Timeline {
    private final String process;
    private final HybridClock clock;
    private final Ring changes;
    private final Ring requests;

    private Timeline(String process, HybridClock clock, int capacity) {
        this.process = process;
        this.clock = clock;
        this.changes = new Ring(capacity);
        this.requests = new Ring(capacity);
    }

    /**
     * An empty time line of this process that keeps the last {@code capacity} changes of state, and
     * as many events of single requests.
     */
    public static Timeline of(String process, HybridClock clock, int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity must be at least 1: " + capacity);
        }
        return new Timeline(Objects.requireNonNull(process, "process"), clock, capacity);
    }

    /** Adds an event without details. */
    public void add(EventType type, String subject) {
        add(type, subject, Map.of());
    }

    /** Adds an event; the oldest one of its kind goes if the ring is full. */
    public synchronized void add(EventType type, String subject, Map<String, String> details) {
        Ring ring = type.perRequest() ? requests : changes;
        ring.add(new Event(clock.now(), process, type, subject, details));
    }

    /** The events held now, oldest first. */
    public synchronized List<Event> events() {
        List<Event> all = new ArrayList<>(changes.events);
        all.addAll(requests.events);
        all.sort(Comparator.comparing(Event::at));
        return List.copyOf(all);
    }

    /** How many events the rings have lost so far. */
    public synchronized long dropped() {
        return changes.dropped + requests.dropped;
    }

    /** The clock whose times frames carry. */
    public HybridClock clock() {
        return clock;
    }

    /** The last events of one kind. */
    private static final class Ring {
        private final int capacity;
        private final ArrayDeque<Event> events = new ArrayDeque<>();
        private long dropped;

        private Ring(int capacity) {
            this.capacity = capacity;
        }

        private void add(Event event) {
            if (events.size() == capacity) {
                events.removeFirst();
                dropped++;
            }
            events.addLast(event);
        }
    }
}
