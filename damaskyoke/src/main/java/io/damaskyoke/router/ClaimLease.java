package io.damaskyoke.router;

import io.damaskyoke.platform.KeyValueStore;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * The lease that new claims are written under, so that the store itself forgets them: one for all
 * claims of an hour, never kept alive, long enough that the last of them lasts its retention.
 *
 * <p>It costs a router one call an hour, and a key stands at one place whatever the hour. Control
 * thread only.
 */
final class ClaimLease {
    private static final Duration TERM = Duration.ofHours(1);

    private final KeyValueStore store;
    private final Duration retention;
    private long id;
    private Instant renewAt = Instant.MIN;

    ClaimLease(KeyValueStore store, Duration retention) {
        this.store = store;
        this.retention = retention;
    }

    /** The present lease, granted anew if its hour is over. */
    CompletionStage<Long> present(Instant now) {
        if (id != 0 && now.isBefore(renewAt)) {
            return CompletableFuture.completedFuture(id);
        }
        return store.grantLease(retention.plus(TERM));
    }

    /** Takes a granted lease into use. */
    void use(long granted, Instant now) {
        if (granted != id) {
            id = granted;
            renewAt = now.plus(TERM);
        }
    }

    /** Forgets the lease, in case the store no longer knows it. */
    void forget() {
        id = 0;
    }

    long id() {
        return id;
    }
}
