package io.damaskyoke.follow;

import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import java.time.Duration;
import java.util.List;

/**
 * Hears what is there and what has changed, on the control thread. Each time it is told how long
 * the silence was before: from the store's last answer to this one.
 */
public interface ChangeListener {
    /** All there is, as of the revision; what isn't there is gone. */
    void all(List<Entry> entries, long revision, Duration silence);

    /** Keys that were set or removed. */
    void changed(List<Change> changes, long revision, Duration silence);
}
