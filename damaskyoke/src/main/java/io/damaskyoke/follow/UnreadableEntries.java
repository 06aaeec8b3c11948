package io.damaskyoke.follow;

import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Entry;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Reads followed entries, which other writers may have written, one by one: what can't be read is
 * skipped, counted, and logged once. Control thread only.
 *
 * <pre>{@code
 * unreadable.read(entry.key(), () -> parse(entry.value())).ifPresent(this::apply);
 * }</pre>
 */
public final class UnreadableEntries {
    /** More lines would hide the others in the log; the gauge counts all. */
    static final int MAX_LINES = 20;

    private static final int MAX_LOGGED_LENGTH = 200;

    private final String name;
    private final Consumer<String> log;
    private final Set<String> keys = new HashSet<>();
    private int lines;

    /**
     * Creates an instance that knows of no unreadable entry.
     *
     * @param name the name of the followed keys, as that of their {@link Follower}
     * @param log receives a line for each of the first unreadable entries
     */
    public UnreadableEntries(String name, Metrics metrics, Consumer<String> log) {
        this.name = name;
        this.log = log;
        metrics.gauge("store_entries_unreadable", "of", name, this::count);
    }

    /**
     * Returns what the parser makes of an entry; empty if it returns nothing, throws, or overflows
     * the stack.
     *
     * @param key the key of the entry
     */
    public <T> Optional<T> read(String key, Supplier<Optional<T>> parser) {
        try {
            Optional<T> value = parser.get();
            if (value.isPresent()) {
                forget(key);
            } else {
                add(key, "it has no meaning here");
            }
            return value;
        } catch (RuntimeException | StackOverflowError e) {
            add(key, e.getMessage() == null ? e.toString() : e.getMessage());
            return Optional.empty();
        }
    }

    /** Forgets an entry that was removed. */
    public void forget(String key) {
        keys.remove(key);
        if (keys.isEmpty()) {
            lines = 0;
        }
    }

    /** Forgets all entries except those that a full read has found. */
    public void keepOnly(List<Entry> found) {
        if (!keys.isEmpty()) {
            Set<String> there = found.stream().map(Entry::key).collect(Collectors.toSet());
            keys.retainAll(there);
        }
    }

    /** Returns the number of entries that the store has and that can't be read. */
    public int count() {
        return keys.size();
    }

    private void add(String key, String why) {
        if (!keys.add(key) || lines > MAX_LINES) {
            return;
        }
        lines++;
        log.accept(
                lines > MAX_LINES
                        ? "more entries of " + name + " are unreadable and are not logged"
                        : "ignoring unreadable entry " + shown(key) + ": " + shown(why));
    }

    // Another writer's text must not break the lines of the log.
    private static String shown(String text) {
        String start = text.substring(0, Math.min(text.length(), MAX_LOGGED_LENGTH));
        return start.replaceAll("[^\\x20-\\x7e]", "?");
    }
}
