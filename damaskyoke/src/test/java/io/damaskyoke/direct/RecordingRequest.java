package io.damaskyoke.direct;

import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.upstreams.Upstream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** A request that records its outcome and never finishes. */
final class RecordingRequest extends SimulatedRequest {
    static final String SERVICE = "service";
    private static final Duration CALLER_WAITS = Duration.ofSeconds(10);

    private final AllowedRegions homes;
    private final List<String> outcomes;

    /** Creates a request that arrives now and adds its outcome to the list. */
    RecordingRequest(Instant now, AllowedRegions homes, List<String> outcomes) {
        super(SERVICE, now, CALLER_WAITS);
        this.homes = homes;
        this.outcomes = outcomes;
    }

    @Override
    public AllowedRegions allowedRegions() {
        return homes;
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
