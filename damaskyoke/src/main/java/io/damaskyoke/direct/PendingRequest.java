package io.damaskyoke.direct;

import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.waiting.WaitingRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

/** A request that waits in the {@link UpstreamDispatcher} queues to be sent to an upstream. */
interface PendingRequest extends WaitingRequest {
    /** Returns the service whose upstreams may run the request. */
    String service();

    /** Returns the model that the upstream must hold, if any. */
    Optional<ModelRef> model();

    /** Returns the regions where the request may be served. */
    AllowedRegions allowedRegions();

    /** Returns when the request came. */
    Instant arrivedAt();

    /** Returns when the request is refused if it is still queued. */
    Instant queueDeadline();

    /** Returns the upstreams not to select, such as those where the request has failed. */
    Set<UpstreamId> excludedUpstreams();

    /** Sends the request to the upstream. */
    void sendTo(Upstream upstream);

    /**
     * Refuses the request, which was neither queued nor sent, as its model is not expected in time.
     *
     * @param retryAfter the time after which the model is expected
     */
    void refuseAtArrival(Duration retryAfter);

    /**
     * Refuses the request, as the upstreams that could serve it are paused for too long.
     *
     * @param retryAfter the time after which one may serve it
     */
    void refusePaused(Duration retryAfter);

    /** Refuses the request, as no upstream could take it in time. */
    void handleNoUpstream();
}
