package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamTable;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides whether a request that only paused upstreams could serve is worth queueing. Traffic
 * thread only.
 */
final class PauseCheck {
    /** The part of the wait by which the times at which callers return are spread. */
    private static final double SPREAD = 0.5;

    private static final Duration MAX_SPREAD = Duration.ofSeconds(1);

    private final UpstreamTable upstreams;
    private final ArrivalCheck loads;
    private final RandomGenerator random;

    /**
     * Creates a check.
     *
     * @param loads knows how long a model takes to be loaded at an upstream that is not paused
     * @param random spreads the times at which callers return
     */
    PauseCheck(UpstreamTable upstreams, ArrivalCheck loads, RandomGenerator random) {
        this.upstreams = upstreams;
        this.loads = loads;
        this.random = random;
    }

    /**
     * Returns when a request for the model, if any, can be served by one of these upstreams at the
     * earliest; empty if pauses do not delay it.
     */
    Optional<Instant> servableFrom(
            String service, Optional<ModelRef> model, List<Upstream> candidates, Instant now) {
        if (!upstreams.mayBePaused(now)) {
            return Optional.empty();
        }
        Optional<Instant> earliest = earliestEnd(model, candidates, now);
        if (earliest.isEmpty() || model.isEmpty()) {
            return earliest;
        }
        return loads.loadTimeUnlessPaused(service, model.get(), candidates, now)
                .map(now::plus)
                .map(loaded -> loaded.isBefore(earliest.get()) ? loaded : earliest.get());
    }

    /** Returns when to retry a request that can be served only from then on. */
    Duration retryAfter(Instant servableFrom, Instant now) {
        Duration wait = Duration.between(now, servableFrom);
        double most = Math.min(wait.toMillis() * SPREAD, MAX_SPREAD.toMillis());
        return wait.plusMillis((long) (random.nextDouble() * most));
    }

    // Empty if an upstream that could serve the request is not paused, or none is open.
    private static Optional<Instant> earliestEnd(
            Optional<ModelRef> model, List<Upstream> candidates, Instant now) {
        Instant earliest = null;
        for (Upstream upstream : candidates) {
            boolean serves =
                    upstream.isOpen(now)
                            && (model.isEmpty() || upstream.held().contains(model.get()));
            if (!serves) {
                continue;
            }
            if (!upstream.pause().isPaused(now)) {
                return Optional.empty();
            }
            Instant end = upstream.pause().pausedUntil();
            earliest = earliest == null || end.isBefore(earliest) ? end : earliest;
        }
        return Optional.ofNullable(earliest);
    }
}
