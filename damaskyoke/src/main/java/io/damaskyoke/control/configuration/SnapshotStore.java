package io.damaskyoke.control.configuration;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.Write;
import io.damaskyoke.platform.PlatformException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Reads and writes snapshots in the platform's store, in parts below its limit for a value, with
 * one key that names the newest complete snapshot.
 *
 * <p>All parts are written before the snapshot is named, and each is created only if absent. So a
 * writer that crashes half-way, or two concurrent writers, can't leave an incomplete snapshot that
 * reads as complete. The parts of the previous snapshot stay, for reads in progress.
 */
final class SnapshotStore {
    /** Bytes in a part. The store takes a megabyte for a part in base64 together with its key. */
    static final int PART_BYTES = 512 * 1024;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final KeyValueStore store;
    private final String folder;
    private final String newestKey;

    SnapshotStore(KeyValueStore store, String prefix) {
        this.store = store;
        this.folder = prefix + "/config/snapshot/";
        this.newestKey = prefix + "/config/snapshot-newest";
    }

    /**
     * Names the newest snapshot.
     *
     * @param sequence the sequence number of the newest snapshot
     * @param parts the number of its parts
     * @param before the sequence number of the previous snapshot; 0 if there is none
     */
    record NewestSnapshot(
            @JsonProperty("sequence") long sequence,
            @JsonProperty("parts") int parts,
            @JsonProperty("before") long before) {}

    /** Returns the condition that no snapshot was ever written. */
    Condition noSnapshotWritten() {
        return new Condition.Absent(newestKey);
    }

    CompletionStage<Optional<NewestSnapshot>> readNewest() {
        return store.read(newestKey).thenApply(found -> found.map(SnapshotStore::parseNewest));
    }

    /** Returns the newest complete snapshot; empty if there is none. */
    CompletionStage<Optional<ConfigurationSnapshot>> read() {
        return readNewest()
                .thenCompose(
                        found ->
                                found.map(this::readParts)
                                        .orElse(CompletableFuture.completedFuture(null))
                                        .thenApply(
                                                bytes ->
                                                        Optional.ofNullable(bytes)
                                                                .map(
                                                                        ConfigurationSnapshot
                                                                                ::decode)));
    }

    /**
     * Writes a snapshot and names it the newest. Returns false if another writer has named one
     * first.
     */
    CompletionStage<Boolean> write(ConfigurationSnapshot snapshot) {
        byte[] bytes = snapshot.encode();
        int parts = (bytes.length + PART_BYTES - 1) / PART_BYTES;
        return store.read(newestKey)
                .thenCompose(
                        found -> {
                            long before =
                                    found.map(SnapshotStore::parseNewest)
                                            .map(NewestSnapshot::sequence)
                                            .orElse(0L);
                            if (before >= snapshot.sequence()) {
                                return CompletableFuture.completedFuture(false);
                            }
                            NewestSnapshot next =
                                    new NewestSnapshot(snapshot.sequence(), parts, before);
                            return createParts(bytes, next, 0)
                                    .thenCompose(done -> publish(next, found))
                                    .thenCompose(
                                            named ->
                                                    named
                                                            ? deleteOldParts(next)
                                                            : completed(false));
                        });
    }

    private CompletionStage<Void> createParts(byte[] bytes, NewestSnapshot next, int part) {
        if (part == next.parts()) {
            return CompletableFuture.completedFuture(null);
        }
        byte[] slice =
                Arrays.copyOfRange(
                        bytes, part * PART_BYTES, Math.min(bytes.length, (part + 1) * PART_BYTES));
        String key = partKey(next.sequence(), part);
        return store.commit(
                        List.of(new Condition.Absent(key)), List.of(new Write.Put(key, slice, 0)))
                .thenCompose(result -> createParts(bytes, next, part + 1));
    }

    private CompletionStage<Boolean> publish(NewestSnapshot next, Optional<Entry> found) {
        Condition unchanged =
                found.<Condition>map(
                                entry -> new Condition.Unchanged(newestKey, entry.modRevision()))
                        .orElse(noSnapshotWritten());
        return store.commit(List.of(unchanged), List.of(new Write.Put(newestKey, write(next), 0)))
                .thenApply(KeyValueStore.TxnResult::committed);
    }

    /** Removes the parts of all snapshots older than the previous one. */
    private CompletionStage<Boolean> deleteOldParts(NewestSnapshot next) {
        return store.range(folder, partKey(next.before(), 0), ConfigurationLog.PAGE_ENTRIES)
                .thenCompose(
                        old ->
                                old.entries().isEmpty()
                                        ? completed(true)
                                        : store.commit(List.of(), deletions(old))
                                                .thenApply(result -> true));
    }

    static List<Write> deletions(KeyValueStore.Listing listing) {
        return listing.entries().stream().<Write>map(it -> new Write.Delete(it.key())).toList();
    }

    private CompletionStage<byte[]> readParts(NewestSnapshot newest) {
        return store.range(
                        partKey(newest.sequence(), 0),
                        partKey(newest.sequence(), newest.parts()),
                        newest.parts())
                .thenApply(
                        found -> {
                            if (found.entries().size() != newest.parts()) {
                                throw badAnswer(
                                        "snapshot "
                                                + newest.sequence()
                                                + " must have "
                                                + newest.parts()
                                                + " parts, found "
                                                + found.entries().size(),
                                        null);
                            }
                            ByteArrayOutputStream all = new ByteArrayOutputStream();
                            found.entries().forEach(part -> all.writeBytes(part.value()));
                            return all.toByteArray();
                        });
    }

    private String partKey(long sequence, int part) {
        return folder + String.format(Locale.ROOT, "%016d/%04d", sequence, part);
    }

    private static CompletionStage<Boolean> completed(boolean value) {
        return CompletableFuture.completedFuture(value);
    }

    private static NewestSnapshot parseNewest(Entry entry) {
        try {
            return JSON.readValue(entry.value(), NewestSnapshot.class);
        } catch (IOException e) {
            throw badAnswer(
                    "can't parse the value of " + entry.key() + ", which names the newest snapshot",
                    e);
        }
    }

    private static byte[] write(NewestSnapshot newest) {
        try {
            return JSON.writeValueAsBytes(newest);
        } catch (IOException e) {
            throw badAnswer(
                    "can't encode the name of the newest snapshot, " + newest.sequence(), e);
        }
    }

    private static PlatformException badAnswer(String message, Throwable cause) {
        return new PlatformException(PlatformException.Code.BAD_ANSWER, message, cause);
    }
}
