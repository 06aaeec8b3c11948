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

    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long from = Long.MAX_VALUE;

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
        changes.addAll(newer);
        while (changes.size() > MAX_CHANGES) {
            from = changes.removeFirst().revision();
        }
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
