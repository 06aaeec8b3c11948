package io.damaskyoke.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** A store that tells changes by calls which wait for them. */
public interface PolledStore extends KeyValueStore {
    /**
     * What has changed under the prefix after a revision: at once if there is anything, else as
     * soon as there is, and empty after {@code wait}. Fails with {@code COMPACTED} if that part of
     * the history is no longer kept, and with {@code UNAVAILABLE} if no answer came in time.
     */
    CompletionStage<Changes> changes(String prefix, long after, Duration wait);

    /**
     * The same as {@link #list(String)}; {@code onPage} runs whenever a part of the listing has
     * come.
     */
    default CompletionStage<Listing> list(String prefix, Runnable onPage) {
        return list(prefix);
    }

    /**
     * All entries whose key starts with the prefix, as of a revision that may be some seconds old.
     * This may cost the store less than {@link #list}.
     */
    default CompletionStage<Listing> listPossiblyStale(String prefix) {
        return list(prefix);
    }

    /**
     * Changes in order of revision, and the store's revision up to which there were no others.
     *
     * @param changes empty if there were none
     * @param age how much older this is than an answer of the store itself; zero if it is one
     */
    record Changes(List<Change> changes, long revision, Duration age) {
        /** An answer of the store itself. */
        public Changes(List<Change> changes, long revision) {
            this(changes, revision, Duration.ZERO);
        }
    }
}
