package io.damaskyoke.control.configuration;

import java.util.ArrayDeque;
import java.util.List;

/**
 * The most recent entries of the log, for peers that are a few entries behind. Its size is bounded
 * in bytes; a peer that is further behind takes a {@link ConfigurationSnapshot}.
 */
final class LogTail {
    static final int MAX_BYTES = 1 << 20;

    private final ArrayDeque<LogEntry> entries = new ArrayDeque<>();
    private int bytes;

    /**
     * Adds the entry that follows the newest one, and drops the oldest ones above {@value
     * #MAX_BYTES} bytes.
     */
    void add(LogEntry entry) {
        entries.add(entry);
        bytes += entry.value().length;
        while (bytes > MAX_BYTES && entries.size() > 1) {
            bytes -= entries.remove().value().length;
        }
    }

    /** Removes all entries, after a snapshot has skipped entries that were never received. */
    void clear() {
        entries.clear();
        bytes = 0;
    }

    /** Returns true if all entries from this sequence number on are held. */
    boolean covers(long from) {
        return !entries.isEmpty() && entries.peek().sequence() <= from;
    }

    /** Returns the held entries from this sequence number on. */
    List<LogEntry> entriesFrom(long from) {
        return entries.stream().filter(entry -> entry.sequence() >= from).toList();
    }
}
