package io.damaskyoke.control.placement;

import java.time.Duration;
import java.time.Instant;

/** What a {@link LeaseMachine} wants done. */
public sealed interface LeaseAction {
    /** Have the store grant a lease; ends in Granted or Failed. */
    record Grant(Duration term) implements LeaseAction {}

    /** Write the key under the lease unless it is there; ends in Acquired or Failed. */
    record Acquire(long lease) implements LeaseAction {}

    /** Keep it alive; ends in Kept or Failed. */
    record Keep(long lease, Instant askedAt) implements LeaseAction {}

    /** Give it back, as nothing hangs on it. */
    record Revoke(long lease) implements LeaseAction {}

    /** This process plans from now on. */
    record Won() implements LeaseAction {}

    /** This process plans no longer. */
    record Lost() implements LeaseAction {}
}
