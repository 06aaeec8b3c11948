package io.damaskyoke.direct;

import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.upstreams.Upstream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** A request that records its outcome and never finishes. */
final class RecordingRequest extends SimulatedRequest {
    static final String SERVICE = "service";
    private static final Duration QUEUE_TIMEOUT = Duration.ofSeconds(10);

    private final AllowedRegions allowedRegions;
    private final List<String> outcomes;

    /** Creates a request that arrives now and adds its outcome to the list. */
    RecordingRequest(Instant now, AllowedRegions allowedRegions, List<String> outcomes) {
        super(SERVICE, now, QUEUE_TIMEOUT);
        this.allowedRegions = allowedRegions;
        this.outcomes = outcomes;
    }

    @Override
    public AllowedRegions allowedRegions() {
        return allowedRegions;
    }

    @Override
    public void sendTo(Upstream upstream) {
        upstream.requestAssigned(null, arrivedAt());
        outcomes.add("to " + upstream.facts().id());
    }

    @Override
    public void handleNoUpstream() {
        outcomes.add("no upstream");
    }
}
