package io.damaskyoke.control.placement;

import java.time.Duration;
import java.time.Instant;

/** Actions that a {@link LeaseMachine} asks its caller to carry out. */
public sealed interface LeaseAction {
    /** Asks the store for a lease of this term; answered by Granted or Failed. */
    record GrantLease(Duration term) implements LeaseAction {}

    /**
     * Writes the leader's key under the lease unless the key exists; answered by Acquired or
     * Failed.
     */
    record AcquireKey(long lease) implements LeaseAction {}

    /** Renews the lease; answered by KeepAliveAnswered or Failed. */
    record KeepAlive(long lease, Instant askedAt) implements LeaseAction {}

    /** Revokes a lease that is no longer needed. */
    record RevokeLease(long lease) implements LeaseAction {}

    /** Starts the leader's work: this process now holds the lease. */
    record StartLeading() implements LeaseAction {}

    /** Stops the leader's work: this process no longer holds the lease. */
    record StopLeading() implements LeaseAction {}
}
