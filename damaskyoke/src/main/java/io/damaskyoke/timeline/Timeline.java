package io.damaskyoke.timeline;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The last events of a process, in a ring of fixed size; thread-safe.
 *
 * <p>{@code timeline.add(EventType.LOADED, "cut-sheet", Map.of("ms", "812"))}
 */
public final class Timeline {
    private final String process;
    private final HybridClock clock;
    private final int capacity;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private long dropped;

    private Timeline(String process, HybridClock clock, int capacity) {
        this.process = process;
        this.clock = clock;
        this.capacity = capacity;
    }

    /** An empty time line of this process that keeps the last {@code capacity} events. */
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

    /** Adds an event; the oldest one goes if the ring is full. */
    public synchronized void add(EventType type, String subject, Map<String, String> details) {
        if (events.size() == capacity) {
            events.removeFirst();
            dropped++;
        }
        events.addLast(new Event(clock.now(), process, type, subject, details));
    }

    /** The events held now, oldest first. */
    public synchronized List<Event> events() {
        return List.copyOf(events);
    }

    /** How many events the ring has lost so far. */
    public synchronized long dropped() {
        return dropped;
    }

    /** The clock whose times frames carry. */
    public HybridClock clock() {
        return clock;
    }
}
