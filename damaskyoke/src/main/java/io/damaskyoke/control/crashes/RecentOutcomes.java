package io.damaskyoke.control.crashes;

import io.damaskyoke.control.LruMap;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the outcomes of recent requests: {@code recent.recordSuccess(digest, sentAt, now)}.
 *
 * <p>Which request is suspect shows at the second crash only. An innocent request that is sent
 * again and again has succeeded in between, and a router that saw the success can then report it.
 */
public final class RecentOutcomes {
    private final Map<RequestDigest, Outcome> outcomes;

    /**
     * The outcome of the runs of one request.
     *
     * @param lastSuccess its last success, if there was one
     * @param survivedRuns number of runs since then that neither succeeded nor crashed the upstream
     */
    public record Outcome(Optional<Success> lastSuccess, int survivedRuns) {}

    /** A successful run: when it was sent, and when its answer was complete. */
    public record Success(Instant sentAt, Instant answeredAt) {}

    /** Creates a memory of at most this many requests; the least recently seen ones are evicted. */
    public RecentOutcomes(int maxRequests) {
        this.outcomes = new LruMap<>(maxRequests);
    }

    /** Records that a run that was sent at {@code sentAt} has succeeded now. */
    public void recordSuccess(RequestDigest request, Instant sentAt, Instant now) {
        outcomes.put(request, new Outcome(Optional.of(new Success(sentAt, now)), 0));
    }

    /** Records that the upstream survived a run of the request. */
    public void recordSurvivedRun(RequestDigest request) {
        Outcome known = outcomeOf(request);
        outcomes.put(request, new Outcome(known.lastSuccess(), known.survivedRuns() + 1));
    }

    /** Returns the known outcome of the request; an unknown request has no success and no runs. */
    public Outcome outcomeOf(RequestDigest request) {
        return outcomes.getOrDefault(request, new Outcome(Optional.empty(), 0));
    }
}
