package io.damaskyoke.control.placement;

import java.time.Duration;
import java.time.Instant;

/** Actions that a {@link LeaseMachine} asks its caller to carry out. */
public sealed interface LeaseAction {
    /** Asks the store for a lease of this term; answered by Granted or Failed. */
    record Grant(Duration term) implements LeaseAction {}

    /**
     * Writes the leader's key under the lease unless the key exists; answered by Acquired or
     * Failed.
     */
    record Acquire(long lease) implements LeaseAction {}

    /** Renews the lease; answered by Kept or Failed. */
    record Keep(long lease, Instant askedAt) implements LeaseAction {}

    /** Revokes a lease that is no longer needed. */
    record Revoke(long lease) implements LeaseAction {}

    /** Starts the leader's work: this process now holds the lease. */
    record Won() implements LeaseAction {}

    /** Stops the leader's work: this process no longer holds the lease. */
    record Lost() implements LeaseAction {}
}
