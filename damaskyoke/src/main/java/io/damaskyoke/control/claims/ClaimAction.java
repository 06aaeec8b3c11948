package io.damaskyoke.control.claims;

import io.damaskyoke.platform.KeyValueStore.Entry;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** An action that {@link ClaimBatcher} tells the router to carry out. */
public sealed interface ClaimAction {
    /** Commit these writes in one transaction; at most one commit is in flight at a time. */
    record Commit(List<ClaimWrite> writes) implements ClaimAction {}

    /** Give the result of a write to the code that submitted it. */
    record CompleteWrite(long id, Result result) implements ClaimAction {}

    /** Send a tick at this time. */
    record WakeAt(Instant time) implements ClaimAction {}

    /** The result of a write. */
    sealed interface Result {
        /** The write took effect at this revision of the store. */
        record Written(long revision) implements Result {}

        /** The write did not take effect, since its condition does not hold for the entry found. */
        record Conflict(Optional<Entry> found) implements Result {}

        /**
         * The write was given up, since its deadline passed or too many writes are pending.
         *
         * @param mayHaveTakenEffect false if it is certain that it took no effect
         */
        record Abandoned(boolean mayHaveTakenEffect) implements Result {}
    }
}
