package io.damaskyoke.direct;

import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

/** A simulated caller's request that by default needs no model and may be served anywhere. */
abstract class SimulatedRequest implements PendingRequest {
    private static final Duration IN_TIME = Duration.ofSeconds(1);

    private final String service;
    private final Instant since;
    private final Duration wait;

    /** Creates a request that arrives now and is queued for at most {@code wait}. */
    SimulatedRequest(String service, Instant now, Duration wait) {
        this.service = service;
        this.since = now;
        this.wait = wait;
    }

    @Override
    public String service() {
        return service;
    }

    @Override
    public Optional<ModelRef> model() {
        return Optional.empty();
    }

    @Override
    public AllowedRegions allowedRegions() {
        return AllowedRegions.ANYWHERE;
    }

    @Override
    public int priority() {
        return 1;
    }

    @Override
    public Instant arrivedAt() {
        return since;
    }

    @Override
    public Instant onTimeSendDeadline() {
        return since.plus(IN_TIME);
    }

    @Override
    public Instant queueDeadline() {
        return since.plus(wait);
    }

    @Override
    public Set<UpstreamId> excludedUpstreams() {
        return Set.of();
    }
}
