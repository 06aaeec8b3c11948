package io.damaskyoke.control.placement;

import io.damaskyoke.control.StateMachine;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Acquires and renews a lease that one process at a time holds, such as the lease of the router
 * that plans the placement: {@code lease.on(new LeaseInput.Tick(), now)}.
 *
 * <p>The lease saves work and keeps leaders from undoing each other's plans; correctness does not
 * depend on it. A leader that was paused beyond the expiry still considers itself the leader until
 * its next step, and its proposals then fail in the compare-and-swap.
 */
public final class LeaseMachine implements StateMachine<LeaseInput, LeaseAction> {
    private final Duration term;
    private State state = State.FREE;
    private long leaseId;
    private Instant lastRequestAt = Instant.MIN;
    private Instant expiresAt = Instant.MIN;

    /**
     * Creates a machine that does not hold the lease.
     *
     * @param term how long after its last renewal the lease expires
     */
    public LeaseMachine(Duration term) {
        this.term = term;
    }

    private enum State {
        /** Another process holds the lease, or none does. */
        FREE,
        /** The store was asked for a lease. */
        GRANTING,
        /** The store was asked to write the leader's key under the lease. */
        ACQUIRING,
        /** This process holds the lease until it expires. */
        HELD
    }

    /**
     * Returns true if this process holds the lease, judged by its own clock and without asking the
     * store.
     */
    public boolean isHeld(Instant now) {
        return state == State.HELD && now.isBefore(expiresAt);
    }

    /** Returns the store's id of the lease that was granted last. */
    public long leaseId() {
        return leaseId;
    }

    @Override
    public List<LeaseAction> on(LeaseInput input, Instant now) {
        if (state == State.HELD && !now.isBefore(expiresAt)) {
            return stopLeading();
        }
        if (input instanceof LeaseInput.Tick) {
            return tick(now);
        }
        if (input instanceof LeaseInput.Resigned) {
            return resign();
        }
        if (input instanceof LeaseInput.Granted granted && state == State.GRANTING) {
            state = State.ACQUIRING;
            leaseId = granted.lease();
            return List.of(new LeaseAction.AcquireKey(leaseId));
        }
        if (input instanceof LeaseInput.Acquired acquired && state == State.ACQUIRING) {
            return onAcquired(acquired.won());
        }
        if (input instanceof LeaseInput.KeepAliveAnswered answer && state == State.HELD) {
            return onKeepAliveAnswered(answer);
        }
        if (input instanceof LeaseInput.Failed && state != State.HELD) {
            state = State.FREE;
        }
        return List.of();
    }

    private List<LeaseAction> tick(Instant now) {
        if (state == State.FREE && !now.isBefore(dueAfter(lastRequestAt, term.dividedBy(2)))) {
            state = State.GRANTING;
            lastRequestAt = now;
            return List.of(new LeaseAction.GrantLease(term));
        }
        if (state == State.HELD && !now.isBefore(dueAfter(lastRequestAt, term.dividedBy(4)))) {
            lastRequestAt = now;
            return List.of(new LeaseAction.KeepAlive(leaseId, now));
        }
        return List.of();
    }

    private List<LeaseAction> onAcquired(boolean won) {
        if (!won) {
            state = State.FREE;
            return List.of(new LeaseAction.RevokeLease(leaseId));
        }
        state = State.HELD;
        expiresAt = expiryFrom(lastRequestAt);
        return List.of(new LeaseAction.StartLeading());
    }

    private List<LeaseAction> onKeepAliveAnswered(LeaseInput.KeepAliveAnswered answer) {
        if (!answer.alive()) {
            return stopLeading();
        }
        Instant end = expiryFrom(answer.askedAt());
        expiresAt = end.isAfter(expiresAt) ? end : expiresAt;
        return List.of();
    }

    // Revoking the lease deletes only the key stored under it, never the key of the next leader.
    private List<LeaseAction> resign() {
        boolean held = state == State.HELD;
        state = State.FREE;
        return held
                ? List.of(new LeaseAction.RevokeLease(leaseId), new LeaseAction.StopLeading())
                : List.of();
    }

    private List<LeaseAction> stopLeading() {
        state = State.FREE;
        return List.of(new LeaseAction.StopLeading());
    }

    // The term counts from the moment at which the request was sent, since the store may have
    // started it then. A tenth of the term is kept as a margin for clocks that run at different
    // speeds.
    private Instant expiryFrom(Instant from) {
        return from.plus(term.multipliedBy(9).dividedBy(10));
    }

    private static Instant dueAfter(Instant from, Duration time) {
        return from.equals(Instant.MIN) ? from : from.plus(time);
    }
}
