package io.damaskyoke.control.relay;

import io.damaskyoke.platform.VmList.Vm;
import java.time.Instant;
import java.util.List;

/** Actions that a {@link RelayMachine} asks its caller to carry out. */
public sealed interface RelayAction {
    /** Starts a watch on the store, or stops it. */
    record WatchStore(boolean on) implements RelayAction {}

    /** Keeps connections to these relays and to no other. */
    record FollowRelays(List<Vm> relays) implements RelayAction {}

    /** Asks a peer for missing entries; its answer carries the number. */
    record ProbePeer(Vm peer, long number) implements RelayAction {}

    /** Reads the store once. */
    record ReadStore() implements RelayAction {}

    /**
     * Confirms that, as of this time, the log ended with this entry.
     *
     * @param head the sequence number of the last entry
     */
    record Confirm(long head, Instant asOf) implements RelayAction {}
}
