package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.KeyValueStore;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Hands the leadership over when the store rejects the leader but still serves other routers.
 *
 * <p>Such a leader would stop when its lease may have expired, and the others would see that only
 * seconds later; until then no model that no upstream holds could be served. So the leader resigns
 * at once and asks a router that reaches the store to revoke the lease there. A lease is revoked
 * only after its own holder has resigned, so there are never two leaders at a time. Control thread
 * only.
 */
final class LeaderHandOver {
    /** Longer than one lost answer and its retry; shorter than the remaining time of the lease. */
    private static final Duration HAND_OVER_DELAY = Duration.ofMillis(700);

    private final ControlThread control;
    private final KeyValueStore store;
    private final LeaderLease lease;
    private final PeerRouters peers;
    private final Membership members;
    private Instant storeUpAt = Instant.MIN;

    LeaderHandOver(
            ControlThread control,
            KeyValueStore store,
            LeaderLease lease,
            PeerRouters peers,
            Membership members) {
        this.control = control;
        this.store = store;
        this.lease = lease;
        this.peers = peers;
        this.members = members;
    }

    /**
     * Resigns if the store has rejected this leader for too long; called several times a second.
     */
    void check() {
        Instant now = control.clock().instant();
        if (store.up() || storeUpAt.equals(Instant.MIN)) {
            storeUpAt = now;
            return;
        }
        if (!lease.held() || now.isBefore(storeUpAt.plus(HAND_OVER_DELAY))) {
            return;
        }
        Optional<VmId> other = peers.findRouterWithStore();
        if (other.isPresent()) {
            long leaseId = lease.leaseId();
            lease.resign("the store rejects this router and serves " + other.get());
            peers.requestLeaseEnd(other.get(), leaseId);
        }
    }

    /** Revokes the lease of another router, at its own request. */
    void revokeLease(VmId holder, long leaseId) {
        store.revokeLease(leaseId)
                .whenComplete(
                        (done, failure) ->
                                control.run(
                                        () -> {
                                            if (failure == null) {
                                                members.leaderResigned(holder);
                                            }
                                        }));
    }
}
