package io.damaskyoke.follow;

import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * Access to other processes that follow the same keys in the store and pass the changes on, so that
 * the store is not polled by each process of a large fleet.
 */
public interface Relay {
    /** Returns true if a relay can be asked now; otherwise the store is asked. */
    boolean available();

    /**
     * Returns the changes after the revision as the store would, with the age of the relay's view.
     * Fails if the relay can't answer, or doesn't in time; the store is asked then.
     */
    CompletionStage<Changes> changes(String prefix, long after, Duration wait);

    /** Returns a relay that is never available, so that the store is always asked. */
    static Relay none() {
        return new Relay() {
            @Override
            public boolean available() {
                return false;
            }

            @Override
            public CompletionStage<Changes> changes(String prefix, long after, Duration wait) {
                throw new IllegalStateException("there is no relay to ask; see available()");
            }
        };
    }
}
