package io.damaskyoke.control.placement;

import java.time.Instant;

/** Events that a {@link LeaseMachine} reacts to. */
public sealed interface LeaseInput {
    /** Time has passed. */
    record Tick() implements LeaseInput {}

    /** The store has granted a lease; no key is stored under it yet. */
    record Granted(long lease) implements LeaseInput {}

    /**
     * The store has answered the attempt to write the leader's key.
     *
     * @param won true if the key was written under the lease, false if another process holds it
     */
    record Acquired(boolean won) implements LeaseInput {}

    /**
     * The store has answered a renewal.
     *
     * @param alive true if the lease still exists
     * @param askedAt when the renewal was sent
     */
    record KeepAliveAnswered(boolean alive, Instant askedAt) implements LeaseInput {}

    /** The store did not answer. */
    record Failed() implements LeaseInput {}

    /** This process gives the lease up before it expires. */
    record Resigned() implements LeaseInput {}
}
