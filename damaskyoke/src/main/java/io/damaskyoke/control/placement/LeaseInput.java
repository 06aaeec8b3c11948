package io.damaskyoke.control.placement;

import java.time.Instant;

/** What a {@link LeaseMachine} is told. */
public sealed interface LeaseInput {
    /** Time has passed. */
    record Tick() implements LeaseInput {}

    /** The store has granted a lease, which nothing hangs on yet. */
    record Granted(long lease) implements LeaseInput {}

    /** The key was written under the lease, or another process has it. */
    record Acquired(boolean won) implements LeaseInput {}

    /** An answer to a Keep; {@code askedAt} is when it was asked. */
    record Kept(boolean alive, Instant askedAt) implements LeaseInput {}

    /** The store did not answer. */
    record Failed() implements LeaseInput {}

    /** This process gives the lease up before its end. */
    record Resign() implements LeaseInput {}
}
