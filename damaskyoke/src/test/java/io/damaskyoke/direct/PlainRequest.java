package io.damaskyoke.direct;

import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

/** A request of a simulated caller that may be served anywhere and asks for no model. */
abstract class PlainRequest implements Waiter {
    private static final Duration IN_TIME = Duration.ofSeconds(1);

    private final String service;
    private final Instant since;
    private final Duration wait;

    /** One that comes now, and whose caller waits so long. */
    PlainRequest(String service, Instant now, Duration wait) {
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
    public AllowedRegions homes() {
        return AllowedRegions.ANYWHERE;
    }

    @Override
    public int urgency() {
        return 1;
    }

    @Override
    public Instant since() {
        return since;
    }

    @Override
    public Instant inTimeUntil() {
        return since.plus(IN_TIME);
    }

    @Override
    public Instant until() {
        return since.plus(wait);
    }

    @Override
    public Set<UpstreamId> tried() {
        return Set.of();
    }
}
