package io.damaskyoke.follow;

import io.damaskyoke.platform.KeyValueStore.Change;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;

/** The most recent changes that a follower has received, kept for the processes it relays to. */
final class ChangeHistory {
    /**
     * Holds some seconds of reports from hundreds of upstreams. A process that lacks older changes
     * asks the store.
     */
    private static final int MAX_CHANGES = 4_096;

    /**
     * The bytes of changes that are kept, so that values of another writer fill no heap, and that
     * all of them fit into one frame to another process, unless the settings make frames smaller.
     */
    private static final int MAX_BYTES = 1 << 20;

    /** What a change takes in a frame beyond its key and value. */
    private static final int BYTES_PER_CHANGE = 32;

    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long from = Long.MAX_VALUE;
    private long bytes;

    /** Begins after the first full read, at this revision. */
    void startAt(long revision) {
        from = revision;
    }

    /** Adds what a later full read has found, as if it had changed at the revision of the read. */
    void addFoundBy(long revision, List<Change> differences) {
        add(
                differences.stream()
                        .map(change -> new Change(change.key(), revision, change.entry()))
                        .toList());
    }

    void add(List<Change> newer) {
        for (Change change : newer) {
            changes.addLast(change);
            bytes += size(change);
        }
        while (changes.size() > MAX_CHANGES || bytes > MAX_BYTES) {
            Change oldest = changes.removeFirst();
            bytes -= size(oldest);
            from = oldest.revision();
        }
    }

    private static int size(Change change) {
        int value = change.entry().map(entry -> entry.value().length).orElse(0);
        return BYTES_PER_CHANGE + change.key().length() + value;
    }

    /**
     * Returns the changes after the revision; empty if the history does not reach back that far.
     */
    Optional<List<Change>> after(long revision) {
        if (revision < from) {
            return Optional.empty();
        }
        return Optional.of(
                changes.stream().filter(change -> change.revision() > revision).toList());
    }
}
