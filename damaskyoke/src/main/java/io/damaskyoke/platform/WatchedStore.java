package io.damaskyoke.platform;

import java.util.List;

/** A store that tells changes by itself, as long as somebody watches. */
public interface WatchedStore extends KeyValueStore {
    /**
     * Reports changes under the prefix from {@code fromRevision} on, until closed or {@link
     * WatchListener#ended}. Counts as a call as long as it waits.
     */
    Watch watch(String prefix, long fromRevision, WatchListener listener);

    /** Hears what a watch has to say; called from a traffic thread, one call at a time. */
    interface WatchListener {
        /** Keys that were set or removed (then without a value), in order of revision. */
        void changed(List<Change> changes, long revision);

        /** The watch is over: cut, refused, or the wanted revision is no longer kept. */
        void ended(PlatformException cause);
    }

    /** A running watch. */
    interface Watch extends AutoCloseable {
        @Override
        void close();
    }
}
