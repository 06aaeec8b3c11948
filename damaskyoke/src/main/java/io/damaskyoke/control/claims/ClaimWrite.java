package io.damaskyoke.control.claims;

import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.Write;
import java.time.Instant;
import java.util.Arrays;
import java.util.Optional;

/**
 * A conditional write of one claim, which {@link ClaimBatcher} commits together with others.
 *
 * @param id identifies the write in {@link ClaimAction.CompleteWrite}
 * @param key the store key
 * @param expectedRevision the revision that the claim must still have; empty if there must be no
 *     claim
 * @param value the new value; empty to delete the claim
 * @param lease id of the store lease to write under; 0 for the router's current lease
 * @param giveUpAt time at which the write is given up
 * @param urgent true if a request waits for the write
 */
public record ClaimWrite(
        long id,
        String key,
        Optional<Long> expectedRevision,
        Optional<byte[]> value,
        long lease,
        Instant giveUpAt,
        boolean urgent) {
    /** Returns the condition under which the store applies the write. */
    public Condition condition() {
        return expectedRevision
                .<Condition>map(revision -> new Condition.Unchanged(key, revision))
                .orElseGet(() -> new Condition.Absent(key));
    }

    /**
     * Returns the operation for the store.
     *
     * @param currentLease id of the lease that is used unless the write names its own
     */
    public Write toStoreWrite(long currentLease) {
        return value.<Write>map(
                        bytes -> new Write.Put(key, bytes, lease == 0 ? currentLease : lease))
                .orElseGet(() -> new Write.Delete(key));
    }

    /** Returns the approximate size in a transaction, in bytes. */
    public int size() {
        return key.length() + value.map(bytes -> bytes.length).orElse(0);
    }

    /** Returns true if the condition of this write does not hold for the entry found. */
    boolean conflictsWith(Optional<Entry> found) {
        return expectedRevision.isPresent()
                ? found.isEmpty() || found.get().modRevision() != expectedRevision.get()
                : found.isPresent();
    }

    /** Returns true if the entry found is what this write would produce. */
    boolean isAppliedIn(Optional<Entry> found) {
        return value.isPresent()
                ? found.isPresent() && Arrays.equals(found.get().value(), value.get())
                : found.isEmpty();
    }
}
