package io.damaskyoke.direct;

import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.TokenUsage;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

/** A simulated caller's request that by default needs no model and may be served anywhere. */
abstract class SimulatedRequest implements PendingRequest {
    private static final Duration ON_TIME_LIMIT = Duration.ofSeconds(1);

    private final String service;
    private final Instant arrivedAt;
    private final Duration queueTimeout;

    /** Creates a request that arrives now and is queued for at most {@code queueTimeout}. */
    SimulatedRequest(String service, Instant now, Duration queueTimeout) {
        this.service = service;
        this.arrivedAt = now;
        this.queueTimeout = queueTimeout;
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
    public Optional<WorkspaceId> workspace() {
        return Optional.empty();
    }

    @Override
    public TokenUsage tokenUsage() {
        return TokenUsage.UNKNOWN;
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
        return arrivedAt;
    }

    @Override
    public Instant onTimeSendDeadline() {
        return arrivedAt.plus(ON_TIME_LIMIT);
    }

    @Override
    public Instant queueDeadline() {
        return arrivedAt.plus(queueTimeout);
    }

    @Override
    public Set<UpstreamId> excludedUpstreams() {
        return Set.of();
    }

    @Override
    public void refusePaused(Duration retryAfter) {
        handleNoUpstream();
    }

    @Override
    public void refuseAtArrival(Duration retryAfter) {
        handleNoUpstream();
    }
}
