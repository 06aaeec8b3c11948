package io.damaskyoke.control.configuration;

import java.util.ArrayDeque;
import java.util.List;

/**
 * The newest entries of the log, for peers that lack a few. Bounded by bytes; who lacks more takes
 * a {@link Snapshot}.
 */
final class LogTail {
    static final int MAX_BYTES = 1 << 20;

    private final ArrayDeque<LogEntry> entries = new ArrayDeque<>();
    private int bytes;

    /** Adds the entry after the newest one held. */
    void add(LogEntry entry) {
        entries.add(entry);
        bytes += entry.value().length;
        while (bytes > MAX_BYTES && entries.size() > 1) {
            bytes -= entries.remove().value().length;
        }
    }

    /** Forgets all, after a jump over entries that were never seen. */
    void clear() {
        entries.clear();
        bytes = 0;
    }

    /** True if all entries from this number on are held. */
    boolean reaches(long from) {
        return !entries.isEmpty() && entries.peek().sequence() <= from;
    }

    /** Those held from this number on. */
    List<LogEntry> from(long from) {
        return entries.stream().filter(entry -> entry.sequence() >= from).toList();
    }
}
