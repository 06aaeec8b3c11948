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
    static final int PART = 512 * 1024;

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
    record Newest(
            @JsonProperty("sequence") long sequence,
            @JsonProperty("parts") int parts,
            @JsonProperty("before") long before) {}

    /** Returns the condition that no snapshot was ever written. */
    Condition none() {
        return new Condition.Absent(newestKey);
    }

    CompletionStage<Optional<Newest>> newest() {
        return store.read(newestKey).thenApply(found -> found.map(SnapshotStore::parse));
    }

    /** Returns the newest complete snapshot; empty if there is none. */
    CompletionStage<Optional<Snapshot>> read() {
        return newest().thenCompose(
                        found ->
                                found.map(this::parts)
                                        .orElse(CompletableFuture.completedFuture(null))
                                        .thenApply(
                                                bytes ->
                                                        Optional.ofNullable(bytes)
                                                                .map(Snapshot::decode)));
    }

    /**
     * Writes a snapshot and names it the newest. Returns false if one at least as new is named
     * already.
     */
    CompletionStage<Boolean> write(Snapshot snapshot) {
        byte[] bytes = snapshot.encode();
        int parts = (bytes.length + PART - 1) / PART;
        return store.read(newestKey)
                .thenCompose(
                        found -> {
                            long before =
                                    found.map(SnapshotStore::parse)
                                            .map(Newest::sequence)
                                            .orElse(0L);
                            if (before >= snapshot.sequence()) {
                                return CompletableFuture.completedFuture(false);
                            }
                            Newest next = new Newest(snapshot.sequence(), parts, before);
                            return create(bytes, next, 0)
                                    .thenCompose(done -> name(next, found))
                                    .thenCompose(named -> named ? sweep(next) : done(false));
                        });
    }

    private CompletionStage<Void> create(byte[] bytes, Newest next, int part) {
        if (part == next.parts()) {
            return CompletableFuture.completedFuture(null);
        }
        byte[] slice =
                Arrays.copyOfRange(bytes, part * PART, Math.min(bytes.length, (part + 1) * PART));
        String key = key(next.sequence(), part);
        return store.commit(
                        List.of(new Condition.Absent(key)), List.of(new Write.Put(key, slice, 0)))
                .thenCompose(result -> create(bytes, next, part + 1));
    }

    private CompletionStage<Boolean> name(Newest next, Optional<Entry> found) {
        Condition unchanged =
                found.<Condition>map(
                                entry -> new Condition.Unchanged(newestKey, entry.modRevision()))
                        .orElse(none());
        return store.commit(List.of(unchanged), List.of(new Write.Put(newestKey, write(next), 0)))
                .thenApply(KeyValueStore.TxnResult::committed);
    }

    /** Removes the parts of all snapshots older than the previous one. */
    private CompletionStage<Boolean> sweep(Newest next) {
        return store.range(folder, key(next.before(), 0), ConfigurationLog.PAGE)
                .thenCompose(
                        old ->
                                old.entries().isEmpty()
                                        ? done(true)
                                        : store.commit(List.of(), deletions(old))
                                                .thenApply(result -> true));
    }

    static List<Write> deletions(KeyValueStore.Listing listing) {
        return listing.entries().stream().<Write>map(it -> new Write.Delete(it.key())).toList();
    }

    private CompletionStage<byte[]> parts(Newest newest) {
        return store.range(
                        key(newest.sequence(), 0),
                        key(newest.sequence(), newest.parts()),
                        newest.parts())
                .thenApply(
                        found -> {
                            if (found.entries().size() != newest.parts()) {
                                throw bad(
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

    private String key(long sequence, int part) {
        return folder + String.format(Locale.ROOT, "%016d/%04d", sequence, part);
    }

    private static CompletionStage<Boolean> done(boolean value) {
        return CompletableFuture.completedFuture(value);
    }

    private static Newest parse(Entry entry) {
        try {
            return JSON.readValue(entry.value(), Newest.class);
        } catch (IOException e) {
            throw bad(
                    "can't parse the value of " + entry.key() + ", which names the newest snapshot",
                    e);
        }
    }

    private static byte[] write(Newest newest) {
        try {
            return JSON.writeValueAsBytes(newest);
        } catch (IOException e) {
            throw bad("can't encode the name of the newest snapshot, " + newest.sequence(), e);
        }
    }

    private static PlatformException bad(String message, Throwable cause) {
        return new PlatformException(PlatformException.Code.BAD_ANSWER, message, cause);
    }
}
