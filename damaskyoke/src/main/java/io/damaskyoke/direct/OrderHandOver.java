package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.KeyValueStore;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Passes the orders on when the store turns their leader away and serves other routers.
 *
 * <p>Such a leader stops when its lease may have lapsed, and the others see that seconds later;
 * until then no model that isn't held can be served. So it stops at once and asks a router that
 * reaches the store to end its lease there. Nobody gives orders under a lease that its holder
 * hasn't given up by itself, so two never do at a time. Control thread only.
 */
final class OrderHandOver {
    /** Longer than one lost answer and its repetition; shorter than the rest of the lease. */
    private static final Duration PATIENCE = Duration.ofMillis(700);

    private final ControlThread control;
    private final KeyValueStore store;
    private final OrderLease lease;
    private final Neighbours neighbours;
    private final Membership members;
    private Instant upAt = Instant.MIN;

    OrderHandOver(
            ControlThread control,
            KeyValueStore store,
            OrderLease lease,
            Neighbours neighbours,
            Membership members) {
        this.control = control;
        this.store = store;
        this.lease = lease;
        this.neighbours = neighbours;
        this.members = members;
    }

    /** Looks whether it is time to pass the orders on; called a few times a second. */
    void check() {
        Instant now = control.clock().instant();
        if (store.up() || upAt.equals(Instant.MIN)) {
            upAt = now;
            return;
        }
        if (!lease.held() || now.isBefore(upAt.plus(PATIENCE))) {
            return;
        }
        Optional<VmId> other = neighbours.withStore();
        if (other.isPresent()) {
            long number = lease.number();
            lease.resign("the store turns it away and serves " + other.get());
            neighbours.endLease(other.get(), number);
        }
    }

    /** Another router asks for the end of its lease. */
    void ended(VmId by, long number) {
        store.revokeLease(number)
                .whenComplete(
                        (done, failure) ->
                                control.run(
                                        () -> {
                                            if (failure == null) {
                                                members.vacated(by);
                                            }
                                        }));
    }
}
