package io.damaskyoke.control.claims;

import io.damaskyoke.platform.KeyValueStore.Entry;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** What a {@link ClaimBatcher} asks for. */
public sealed interface ClaimAction {
    /** Commit these in one transaction; there is never more than one under way. */
    record Commit(List<ClaimWrite> writes) implements ClaimAction {}

    /** Tell whoever submitted a change what became of it. */
    record Done(long id, Result result) implements ClaimAction {}

    /** Come back with a tick at this time. */
    record WakeAt(Instant time) implements ClaimAction {}

    /** What became of a change. */
    sealed interface Result {
        /** It is in the store, at this revision. */
        record Written(long revision) implements Result {}

        /** It is not, because of what stands there. */
        record Conflict(Optional<Entry> found) implements Result {}

        /** Its time was up; it may have taken effect, or surely did not. */
        record GaveUp(boolean mayHaveTakenEffect) implements Result {}
    }
}
