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
    private static final Duration PATIENCE = Duration.ofMillis(700);

    private final ControlThread control;
    private final KeyValueStore store;
    private final LeaderLease lease;
    private final PeerRouters neighbours;
    private final Membership members;
    private Instant upAt = Instant.MIN;

    LeaderHandOver(
            ControlThread control,
            KeyValueStore store,
            LeaderLease lease,
            PeerRouters neighbours,
            Membership members) {
        this.control = control;
        this.store = store;
        this.lease = lease;
        this.neighbours = neighbours;
        this.members = members;
    }

    /**
     * Resigns if the store has rejected this leader for too long; called several times a second.
     */
    void check() {
        Instant now = control.clock().instant();
        if (store.up() || upAt.equals(Instant.MIN)) {
            upAt = now;
            return;
        }
        if (!lease.held() || now.isBefore(upAt.plus(PATIENCE))) {
            return;
        }
        Optional<VmId> other = neighbours.findRouterWithStore();
        if (other.isPresent()) {
            long number = lease.leaseId();
            lease.resign("the store rejects this router and serves " + other.get());
            neighbours.requestLeaseEnd(other.get(), number);
        }
    }

    /** Revokes the lease of another router, at its own request. */
    void revokeLease(VmId by, long number) {
        store.revokeLease(number)
                .whenComplete(
                        (done, failure) ->
                                control.run(
                                        () -> {
                                            if (failure == null) {
                                                members.leaderResigned(by);
                                            }
                                        }));
    }
}
