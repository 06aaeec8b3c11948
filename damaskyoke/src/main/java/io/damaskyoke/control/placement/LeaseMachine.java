package io.damaskyoke.control.placement;

import io.damaskyoke.control.StateMachine;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Keeps one lease among all routers, so that one of them at a time plans the placement: {@code
 * lease.on(new LeaseInput.Tick(), now)}.
 *
 * <p>The lease saves work and keeps planners from undoing each other's plans. It guards nothing: a
 * holder that was paused past its end still believes in it until its next step, and its proposals
 * then fail in the compare and swap.
 */
public final class LeaseMachine implements StateMachine<LeaseInput, LeaseAction> {
    private final Duration term;
    private State state = State.FREE;
    private long lease;
    private Instant asked = Instant.MIN;
    private Instant until = Instant.MIN;

    /** A machine without the lease; it ends by itself {@code term} after it was last kept. */
    public LeaseMachine(Duration term) {
        this.term = term;
    }

    private enum State {
        /** Another process has it, or nobody. */
        FREE,
        /** The store was asked for a lease. */
        GRANTING,
        /** The store was asked to write the key under it. */
        ACQUIRING,
        /** This process has it until the time runs out. */
        HELD
    }

    /** True if this process holds the lease, as far as can be told without asking. */
    public boolean held(Instant now) {
        return state == State.HELD && now.isBefore(until);
    }

    /** The store's number of the lease that was last granted. */
    public long lease() {
        return lease;
    }

    @Override
    public List<LeaseAction> on(LeaseInput input, Instant now) {
        if (state == State.HELD && !now.isBefore(until)) {
            return lose();
        }
        if (input instanceof LeaseInput.Tick) {
            return tick(now);
        }
        if (input instanceof LeaseInput.Resign) {
            return resign();
        }
        if (input instanceof LeaseInput.Granted granted && state == State.GRANTING) {
            state = State.ACQUIRING;
            lease = granted.lease();
            return List.of(new LeaseAction.Acquire(lease));
        }
        if (input instanceof LeaseInput.Acquired acquired && state == State.ACQUIRING) {
            return acquired(acquired.won());
        }
        if (input instanceof LeaseInput.Kept kept && state == State.HELD) {
            return kept(kept);
        }
        if (input instanceof LeaseInput.Failed && state != State.HELD) {
            state = State.FREE;
        }
        return List.of();
    }

    private List<LeaseAction> tick(Instant now) {
        if (state == State.FREE && !now.isBefore(after(asked, term.dividedBy(2)))) {
            state = State.GRANTING;
            asked = now;
            return List.of(new LeaseAction.Grant(term));
        }
        if (state == State.HELD && !now.isBefore(after(asked, term.dividedBy(4)))) {
            asked = now;
            return List.of(new LeaseAction.Keep(lease, now));
        }
        return List.of();
    }

    private List<LeaseAction> acquired(boolean won) {
        if (!won) {
            state = State.FREE;
            return List.of(new LeaseAction.Revoke(lease));
        }
        state = State.HELD;
        until = endOf(asked);
        return List.of(new LeaseAction.Won());
    }

    private List<LeaseAction> kept(LeaseInput.Kept kept) {
        if (!kept.alive()) {
            return lose();
        }
        Instant end = endOf(kept.askedAt());
        until = end.isAfter(until) ? end : until;
        return List.of();
    }

    // Ending the lease takes away just the key under it, and never that of the next holder.
    private List<LeaseAction> resign() {
        boolean held = state == State.HELD;
        state = State.FREE;
        return held ? List.of(new LeaseAction.Revoke(lease), new LeaseAction.Lost()) : List.of();
    }

    private List<LeaseAction> lose() {
        state = State.FREE;
        return List.of(new LeaseAction.Lost());
    }

    // Counted from before the question: the store may have begun the term then. The margin is for
    // clocks that run at different speeds.
    private Instant endOf(Instant from) {
        return from.plus(term.multipliedBy(9).dividedBy(10));
    }

    private static Instant after(Instant from, Duration time) {
        return from.equals(Instant.MIN) ? from : from.plus(time);
    }
}
