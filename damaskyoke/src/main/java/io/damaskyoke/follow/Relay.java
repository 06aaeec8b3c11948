package io.damaskyoke.follow;

import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * Other processes that follow the same keys in the store and pass on what they hear, so that the
 * store is not asked by each process of a large fleet.
 */
public interface Relay {
    /** True if one of them can be asked now; else the store is. */
    boolean available();

    /**
     * What the store would tell, with its age. Fails if the one that was asked can't tell, or says
     * nothing in time; the store is asked then.
     */
    CompletionStage<Changes> changes(String prefix, long after, Duration wait);

    /** No relay: the store is asked each time. */
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
