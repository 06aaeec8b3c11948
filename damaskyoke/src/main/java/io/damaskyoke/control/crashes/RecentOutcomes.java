package io.damaskyoke.control.crashes;

import io.damaskyoke.control.LruMap;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the outcomes of recent runs: {@code recent.recordSuccess(suspect, sentAt, now)}.
 *
 * <p>What is suspect shows at the second crash only. An innocent request that is sent again and
 * again has succeeded in between, and a router that saw the success can then report it.
 */
public final class RecentOutcomes {
    private final Map<CrashSuspect, Outcome> outcomes;

    /**
     * The outcome of the runs of one suspect.
     *
     * @param lastSuccess its last success, if there was one
     * @param survivedRuns number of runs since then that neither succeeded nor crashed the upstream
     */
    public record Outcome(Optional<Success> lastSuccess, int survivedRuns) {}

    /** A successful run: when it was sent, and when its answer was complete. */
    public record Success(Instant sentAt, Instant answeredAt) {}

    /** Creates a memory of at most this many suspects; the least recently seen ones are evicted. */
    public RecentOutcomes(int maxRequests) {
        this.outcomes = new LruMap<>(maxRequests);
    }

    /** Records that a run that was sent at {@code sentAt} has succeeded now. */
    public void recordSuccess(CrashSuspect suspect, Instant sentAt, Instant now) {
        outcomes.put(suspect, new Outcome(Optional.of(new Success(sentAt, now)), 0));
    }

    /** Records that the upstream survived a run of the suspect. */
    public void recordSurvivedRun(CrashSuspect suspect) {
        Outcome known = outcomeOf(suspect);
        outcomes.put(suspect, new Outcome(known.lastSuccess(), known.survivedRuns() + 1));
    }

    /** Returns the known outcome of the suspect; an unknown one has no success and no runs. */
    public Outcome outcomeOf(CrashSuspect suspect) {
        return outcomes.getOrDefault(suspect, new Outcome(Optional.empty(), 0));
    }
}
