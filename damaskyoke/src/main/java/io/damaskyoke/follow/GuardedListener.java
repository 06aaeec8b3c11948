package io.damaskyoke.follow;

import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Listing;
import java.time.Duration;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Passes entries and changes on to a listener. If the listener throws, it receives the changes one
 * by one, so that the one that it can't process hides none of the others: no answer of the store
 * brings them again.
 */
final class GuardedListener {
    private static final Logger LOG = LogManager.getLogger(GuardedListener.class);

    private final String name;
    private final ChangeListener listener;
    private final Metrics metrics;

    GuardedListener(String name, ChangeListener listener, Metrics metrics) {
        this.name = name;
        this.listener = listener;
        this.metrics = metrics;
    }

    /**
     * Passes on all entries.
     *
     * @param differences the changes that lead to these entries from those known before
     */
    void entriesRead(Listing found, List<Change> differences, Duration silence) {
        boolean received =
                tryTo(() -> listener.entriesRead(found.entries(), found.revision(), silence));
        if (!received) {
            passOneByOne(differences, silence);
        }
    }

    /** Passes on one or more changes in order of revision. */
    void entriesChanged(List<Change> changes, Duration silence) {
        boolean received = tryTo(() -> pass(changes, silence));
        if (!received && changes.size() > 1) {
            passOneByOne(changes, silence);
        }
    }

    private void passOneByOne(List<Change> changes, Duration silence) {
        changes.forEach(change -> tryTo(() -> pass(List.of(change), silence)));
    }

    private void pass(List<Change> changes, Duration silence) {
        listener.entriesChanged(changes, changes.get(changes.size() - 1).revision(), silence);
    }

    private boolean tryTo(Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException | StackOverflowError e) {
            metrics.count("store_listener_failures", "of", name);
            LOG.error("the listener of {} failed to process changes", name, e);
            return false;
        }
    }
}
