package io.damaskyoke.control.configuration;

import io.damaskyoke.platform.WatchedStore;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Reads and appends the log of tickets in the platform's store, which has one key for each sequence
 * number.
 */
final class ConfigurationLog {
    /** Entries read at once. They are small in practice, and half a megabyte each at worst. */
    static final int PAGE_ENTRIES = 64;

    private final WatchedStore store;
    private final String prefix;
    private final String folder;
    private final SnapshotStore snapshots;

    ConfigurationLog(WatchedStore store, String prefix) {
        this.store = store;
        this.prefix = prefix;
        this.folder = prefix + LogKeys.FOLDER;
        this.snapshots = new SnapshotStore(store, prefix);
    }

    /**
     * One page of the log: some entries in order, the revision of the store at the time of the
     * read, and whether this is the last page. It has the newest snapshot if the log no longer
     * reaches back to the requested entry.
     */
    record Page(
            Optional<ConfigurationSnapshot> snapshot,
            List<LogEntry> entries,
            long revision,
            boolean last) {}

    CompletionStage<Page> read(long from) {
        return store.range(entryKey(from), entryKey(Long.MAX_VALUE), PAGE_ENTRIES)
                .thenCompose(listing -> withSnapshotIfTruncated(toPage(listing), from));
    }

    SnapshotStore snapshots() {
        return snapshots;
    }

    /**
     * Removes the entries up to this sequence number, a page at a time. The newest entry must be
     * above it.
     */
    CompletionStage<Void> truncate(long upTo) {
        return store.range(folder, entryKey(Math.max(0, upTo) + 1), PAGE_ENTRIES)
                .thenCompose(
                        old -> {
                            if (old.entries().isEmpty()) {
                                return CompletableFuture.completedFuture(null);
                            }
                            return store.commit(List.of(), SnapshotStore.deletions(old))
                                    .thenCompose(done -> truncate(upTo));
                        });
    }

    /**
     * Creates an entry if it is absent and its predecessor is present.
     *
     * <p>Without the second condition, a process that was paused while the log was truncated could
     * reuse a sequence number whose entry was removed: the ticket would be accepted and never
     * applied.
     */
    CompletionStage<Boolean> create(long sequence, byte[] value) {
        String key = entryKey(sequence);
        WatchedStore.Condition reachable =
                sequence == 1
                        ? snapshots.noSnapshotWritten()
                        : new WatchedStore.Condition.Present(entryKey(sequence - 1));
        return store.commit(
                        List.of(new WatchedStore.Condition.Absent(key), reachable),
                        List.of(new WatchedStore.Write.Put(key, value, 0)))
                .thenApply(WatchedStore.TxnResult::committed);
    }

    WatchedStore.Watch watch(long fromRevision, WatchedStore.WatchListener listener) {
        return store.watch(folder, fromRevision, listener);
    }

    /**
     * Returns the log entries among these changes. Removals are ignored, since they only truncate
     * old entries.
     */
    List<LogEntry> entries(List<WatchedStore.Change> changes) {
        return toLogEntries(changes.stream().flatMap(change -> change.entry().stream()).toList());
    }

    private CompletionStage<Page> withSnapshotIfTruncated(Page page, long from) {
        if (page.entries().isEmpty() || page.entries().get(0).sequence() <= from) {
            return CompletableFuture.completedFuture(page);
        }
        return snapshots
                .read()
                .thenApply(
                        snapshot ->
                                new Page(snapshot, page.entries(), page.revision(), page.last()));
    }

    private Page toPage(WatchedStore.Listing listing) {
        return new Page(
                Optional.empty(),
                toLogEntries(listing.entries()),
                listing.revision(),
                listing.entries().size() < PAGE_ENTRIES);
    }

    private List<LogEntry> toLogEntries(List<WatchedStore.Entry> found) {
        return found.stream()
                .filter(entry -> parseSequence(entry.key()).isPresent())
                .map(entry -> new LogEntry(parseSequence(entry.key()).getAsLong(), entry.value()))
                .toList();
    }

    private OptionalLong parseSequence(String key) {
        try {
            return OptionalLong.of(Long.parseLong(key.substring(folder.length())));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private String entryKey(long sequence) {
        return LogKeys.entry(prefix, sequence);
    }
}
