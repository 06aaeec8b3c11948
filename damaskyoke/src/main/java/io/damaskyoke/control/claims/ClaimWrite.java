package io.damaskyoke.control.claims;

import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.Write;
import java.time.Instant;
import java.util.Arrays;
import java.util.Optional;

/**
 * One conditional change of one claim, which {@link ClaimBatcher} commits together with others.
 *
 * @param id names it towards the shell
 * @param key of the store
 * @param before the revision that the claim must still have; empty if there must be no claim
 * @param value what to write; empty to remove the claim
 * @param lease the lease to write under; 0 lets the shell choose its present one
 * @param giveUp when nobody needs it any more
 * @param urgent true if a request waits for it
 */
public record ClaimWrite(
        long id,
        String key,
        Optional<Long> before,
        Optional<byte[]> value,
        long lease,
        Instant giveUp,
        boolean urgent) {
    /** The condition for the store. */
    public Condition condition() {
        return before.<Condition>map(revision -> new Condition.Unchanged(key, revision))
                .orElseGet(() -> new Condition.Absent(key));
    }

    /** The change for the store, under this lease unless it names its own. */
    public Write write(long presentLease) {
        return value.<Write>map(
                        bytes -> new Write.Put(key, bytes, lease == 0 ? presentLease : lease))
                .orElseGet(() -> new Write.Delete(key));
    }

    /** Roughly how many bytes it takes in a transaction. */
    public int size() {
        return key.length() + value.map(bytes -> bytes.length).orElse(0);
    }

    /** True if what stands in the store does not let this change happen. */
    boolean blockedBy(Optional<Entry> found) {
        return before.isPresent()
                ? found.isEmpty() || found.get().modRevision() != before.get()
                : found.isPresent();
    }

    /** True if what stands in the store is what this change makes of it. */
    boolean madeBy(Optional<Entry> found) {
        return value.isPresent()
                ? found.isPresent() && Arrays.equals(found.get().value(), value.get())
                : found.isEmpty();
    }
}
