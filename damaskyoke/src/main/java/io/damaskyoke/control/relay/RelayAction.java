package io.damaskyoke.control.relay;

import io.damaskyoke.platform.VmList.Vm;
import java.time.Instant;
import java.util.List;

/** What a {@link RelayMachine} wants done. */
public sealed interface RelayAction {
    /** Keeps a watch on the store from now on, or gives it up. */
    record Watch(boolean on) implements RelayAction {}

    /** Keeps links to these and to no relay else. */
    record Follow(List<Vm> relays) implements RelayAction {}

    /** Asks a peer for what is missing; its answer carries the number. */
    record Probe(Vm peer, long number) implements RelayAction {}

    /** Reads the store once. */
    record AskStore() implements RelayAction {}

    /** As of then it was known for sure that the log ended with this entry. */
    record Confirm(long head, Instant asOf) implements RelayAction {}
}
