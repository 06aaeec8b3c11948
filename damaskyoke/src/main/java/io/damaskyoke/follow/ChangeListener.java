package io.damaskyoke.follow;

import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import java.time.Duration;
import java.util.List;

/**
 * Receives the followed entries and their changes, on the control thread. Each call passes {@code
 * silence}, the time from the store's previous answer to this one.
 */
public interface ChangeListener {
    /** Receives all entries as of the revision; keys that are not among them no longer exist. */
    void entriesRead(List<Entry> entries, long revision, Duration silence);

    /** Receives the keys that were set or removed, up to the revision. */
    void entriesChanged(List<Change> changes, long revision, Duration silence);
}
