package io.damaskyoke.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's key-value service, as narrow as the system needs it.
 *
 * <p>Every stage completes within the client's time limit: with the answer, or exceptionally with a
 * {@link PlatformException}. {@code UNAVAILABLE} means the call surely had no effect; {@code
 * OUTCOME_UNKNOWN} means that a write may have taken effect, so the caller has to read again.
 */
public interface KeyValueStore extends AutoCloseable {
    /** The newest value under the key (a linearizable read). */
    CompletionStage<Optional<Entry>> read(String key);

    /** All entries whose key starts with the prefix, in key order, and the revision of the read. */
    CompletionStage<Listing> list(String prefix);

    /** Entries with {@code from <= key < to} in key order, at most {@code limit}. */
    CompletionStage<Listing> range(String from, String to, int limit);

    /**
     * Carries out all writes if all conditions hold, else none; tells which, and what was found.
     */
    CompletionStage<TxnResult> commit(List<Condition> conditions, List<Write> writes);

    /** A new lease that ends unless it is kept alive; the id to write keys under. */
    CompletionStage<Long> grantLease(Duration ttl);

    /** Starts the lease's time anew; false if it has ended. */
    CompletionStage<Boolean> keepAlive(long lease);

    /** Ends the lease and removes the keys under it. */
    CompletionStage<Void> revokeLease(long lease);

    /** False from the first call that failed until one is answered again. */
    default boolean up() {
        return true;
    }

    @Override
    void close();

    /** One value and where it stands. */
    record Entry(String key, byte[] value, long modRevision, long version, long lease) {}

    /** What a listing found, and the store's revision then. */
    record Listing(List<Entry> entries, long revision) {}

    /** What must be so for a commit to take effect. */
    sealed interface Condition {
        /** The key does not exist. */
        record Absent(String key) implements Condition {}

        /** The key was last changed at this revision. */
        record Unchanged(String key, long modRevision) implements Condition {}

        /** The key exists. */
        record Present(String key) implements Condition {}
    }

    /** One change of a commit. */
    sealed interface Write {
        /** Sets the key, for as long as the lease lives if {@code lease} is not 0. */
        record Put(String key, byte[] value, long lease) implements Write {}

        /** Removes the key. */
        record Delete(String key) implements Write {}
    }

    /**
     * What a commit came to.
     *
     * @param committed whether the writes took effect
     * @param revision the store's revision after it
     * @param found if not committed, what stands under the keys of the conditions
     */
    record TxnResult(boolean committed, long revision, List<Entry> found) {}

    /**
     * One change of a key.
     *
     * @param revision the store's revision at the change
     * @param entry empty if the key was removed
     */
    record Change(String key, long revision, Optional<Entry> entry) {}
}
