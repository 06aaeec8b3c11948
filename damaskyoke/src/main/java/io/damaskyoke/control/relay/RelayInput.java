package io.damaskyoke.control.relay;

import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.VmList.Vm;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** What a {@link RelayMachine} hears. */
public sealed interface RelayInput {
    /** The platform's list of VMs was read. */
    record Listed(List<Vm> vms) implements RelayInput {}

    /** Time has passed; to be sent a few times a second. */
    record Tick() implements RelayInput {}

    /**
     * A peer answered a probe.
     *
     * @param head the last entry that it has
     * @param confirmedAge how long ago, at its answer, it knew for sure that the log ended there;
     *     empty if it doesn't know
     */
    record Answered(VmId from, long probe, long head, Optional<Duration> confirmedAge)
            implements RelayInput {}

    /** A peer's heartbeat or push names an entry that isn't in force here. */
    record Behind(VmId peer) implements RelayInput {}

    /** The store itself confirmed, as of then, that nothing newer exists. */
    record Confirmed(Instant asOf) implements RelayInput {}
}
