package io.damaskyoke.router;

import io.damaskyoke.platform.KeyValueStore;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Holds the store lease under which a router writes new claims, so that the store expires them
 * itself. All claims of one hour share a lease. The lease is never kept alive, and its TTL is the
 * retention plus one hour, so that the last claim of the hour lasts for its whole retention.
 *
 * <p>This costs a router one call to the store an hour, and the store key of a claim doesn't depend
 * on the hour. Control thread only.
 */
final class ClaimLease {
    private static final Duration RENEWAL_PERIOD = Duration.ofHours(1);

    private final KeyValueStore store;
    private final Duration retention;
    private long id;
    private Instant renewAt = Instant.MIN;

    ClaimLease(KeyValueStore store, Duration retention) {
        this.store = store;
        this.retention = retention;
    }

    /** Returns the current lease, or requests a new one if its hour is over. */
    CompletionStage<Long> current(Instant now) {
        if (id != 0 && now.isBefore(renewAt)) {
            return CompletableFuture.completedFuture(id);
        }
        return store.grantLease(retention.plus(RENEWAL_PERIOD));
    }

    /** Makes a granted lease the current one and restarts its hour if it is new. */
    void setCurrent(long granted, Instant now) {
        if (granted != id) {
            id = granted;
            renewAt = now.plus(RENEWAL_PERIOD);
        }
    }

    /** Drops the current lease, in case the store no longer has it. */
    void forget() {
        id = 0;
    }

    long id() {
        return id;
    }
}
