package io.damaskyoke.direct;

import io.damaskyoke.control.Control;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.Listing;
import io.damaskyoke.platform.KeyValueStore.WatchListener;
import io.damaskyoke.platform.PlatformException;
import java.time.Duration;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps up with all keys under a prefix: reads them, watches them, and reads them anew when the
 * watch has lost its place. While the store is out, what was heard last stands.
 */
final class Follower {
    private static final Logger LOG = LogManager.getLogger(Follower.class);

    /** Half of what a new process may take to be of use; short against every bound. */
    private static final Duration RETRY = Duration.ofMillis(250);

    private final Control control;
    private final KeyValueStore store;
    private final String prefix;
    private final Hearer hearer;
    private boolean failing;
    private boolean everRead;

    /** Hears what is there and what has changed, on the control thread. */
    interface Hearer {
        /** All there is, as of the revision; what isn't there is gone. */
        void all(List<Entry> entries, long revision);

        /** Keys that were set or removed. */
        void changed(List<Change> changes, long revision);
    }

    Follower(Control control, KeyValueStore store, String prefix, Hearer hearer) {
        this.control = control;
        this.store = store;
        this.prefix = prefix;
        this.hearer = hearer;
    }

    void start() {
        read();
    }

    /** True once everything was read. */
    boolean everRead() {
        return everRead;
    }

    /** True while neither a reading nor the watch is failing. */
    boolean upToDate() {
        return everRead && !failing && store.up();
    }

    private void read() {
        store.list(prefix)
                .whenComplete((found, failure) -> control.run(() -> took(found, failure)));
    }

    private void took(Listing found, Throwable failure) {
        if (found == null) {
            if (!failing) {
                LOG.warn("can't read {} from the store: {}", prefix, failure.getMessage());
            }
            failing = true;
            control.after(RETRY, this::read);
            return;
        }
        if (failing) {
            LOG.info("read {} from the store again, revision {}", prefix, found.revision());
        }
        failing = false;
        everRead = true;
        hearer.all(found.entries(), found.revision());
        watch(found.revision() + 1);
    }

    private void watch(long from) {
        store.watch(
                prefix,
                from,
                new WatchListener() {
                    @Override
                    public void changed(List<Change> changes, long revision) {
                        control.run(() -> hearer.changed(changes, revision));
                    }

                    @Override
                    public void ended(PlatformException cause) {
                        control.run(() -> lost(cause));
                    }
                });
    }

    private void lost(PlatformException cause) {
        LOG.info("the watch on {} ended, reading it anew: {}", prefix, cause.getMessage());
        failing = true;
        read();
    }
}
