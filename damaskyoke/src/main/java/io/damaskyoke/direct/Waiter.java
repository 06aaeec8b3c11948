package io.damaskyoke.direct;

import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

/** A request that has to be sent to an upstream. */
interface Waiter {
    /** The service whose upstreams may take it. */
    String service();

    /** What the upstream must hold. */
    Optional<ModelRef> model();

    /** Where it may be served. */
    AllowedRegions homes();

    /** 0 goes first. */
    int urgency();

    /** When it came. */
    Instant since();

    /** Until when it must be sent to be answered in time. */
    Instant inTimeUntil();

    /** Until when it may wait; then it is refused. */
    Instant until();

    /** Upstreams that it was sent to in vain. */
    Set<UpstreamId> tried();

    /** Goes to this one. */
    void sendTo(Upstream upstream);

    /** Has waited in vain. */
    void waitedInVain();
}
