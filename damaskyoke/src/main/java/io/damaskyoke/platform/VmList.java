package io.damaskyoke.platform;

import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.VmId;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's list of live and leaving VMs. It lags behind the truth. */
@FunctionalInterface
public interface VmList {
    /** The list as it stands now, or a {@link PlatformException}. */
    CompletionStage<List<Vm>> read();

    /** What a process on a listed VM is there for. */
    enum Role {
        /** Meets callers and operators. */
        ROUTER,
        /** Talks to the upstream beside it. */
        AGENT
    }

    /** Whether new work may be sent there. */
    enum State {
        /** In service, as far as the list knows. */
        LIVE,
        /** About to go; takes no new work. */
        LEAVING
    }

    /** One line of the list. */
    record Vm(
            VmId id,
            Role role,
            AvailabilityZone zone,
            String address,
            int peerPort,
            int operatorPort,
            State state) {}
}
