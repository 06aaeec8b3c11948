package io.damaskyoke.control.relay;

import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.VmList.Vm;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** Events that a {@link RelayMachine} reacts to. */
public sealed interface RelayInput {
    /** The platform's list of VMs was read. */
    record VmsListed(List<Vm> vms) implements RelayInput {}

    /** Time has passed; to be sent several times a second. */
    record Tick() implements RelayInput {}

    /**
     * A peer answered a probe.
     *
     * @param from the peer's VM
     * @param probe the number of the probe
     * @param head the sequence number of the last entry that the peer has
     * @param confirmedAge how long before its answer the peer had a confirmation that the log ended
     *     there; empty if it has none
     */
    record ProbeAnswered(VmId from, long probe, long head, Optional<Duration> confirmedAge)
            implements RelayInput {}

    /** A peer's heartbeat or push names an entry that is not in force here. */
    record NewerEntryAnnounced(VmId peer) implements RelayInput {}

    /** The store confirmed that, as of this time, nothing newer exists. */
    record StoreConfirmed(Instant asOf) implements RelayInput {}
}
