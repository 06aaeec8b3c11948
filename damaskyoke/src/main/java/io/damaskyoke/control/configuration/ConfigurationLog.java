package io.damaskyoke.control.configuration;

import io.damaskyoke.platform.KeyValueStore;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

/** The log of tickets in the platform's store: one key for each sequence number. */
final class ConfigurationLog {
    /** Entries asked for at once; small ones in practice, half a megabyte each at worst. */
    static final int PAGE = 64;

    private final KeyValueStore store;
    private final String prefix;
    private final String folder;

    ConfigurationLog(KeyValueStore store, String prefix) {
        this.store = store;
        this.prefix = prefix;
        this.folder = prefix + LogKeys.FOLDER;
    }

    /** Some entries in order, where the store stood then, and whether more may follow. */
    record Page(List<LogEntry> entries, long revision, boolean last) {}

    CompletionStage<Page> read(long from) {
        return store.range(key(from), key(Long.MAX_VALUE), PAGE).thenApply(this::page);
    }

    CompletionStage<Boolean> create(long sequence, byte[] value) {
        String key = key(sequence);
        return store.commit(
                        List.of(new KeyValueStore.Condition.Absent(key)),
                        List.of(new KeyValueStore.Write.Put(key, value, 0)))
                .thenApply(KeyValueStore.TxnResult::committed);
    }

    KeyValueStore.Watch watch(long fromRevision, KeyValueStore.WatchListener listener) {
        return store.watch(folder, fromRevision, listener);
    }

    /** The entries among these changes; a removal is none, since the log only grows. */
    List<LogEntry> entries(List<KeyValueStore.Change> changes) {
        return entriesOf(changes.stream().flatMap(change -> change.entry().stream()).toList());
    }

    private Page page(KeyValueStore.Listing listing) {
        return new Page(
                entriesOf(listing.entries()), listing.revision(), listing.entries().size() < PAGE);
    }

    private List<LogEntry> entriesOf(List<KeyValueStore.Entry> found) {
        return found.stream()
                .filter(entry -> sequence(entry.key()).isPresent())
                .map(entry -> new LogEntry(sequence(entry.key()).getAsLong(), entry.value()))
                .toList();
    }

    private OptionalLong sequence(String key) {
        try {
            return OptionalLong.of(Long.parseLong(key.substring(folder.length())));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private String key(long sequence) {
        return LogKeys.entry(prefix, sequence);
    }
}
