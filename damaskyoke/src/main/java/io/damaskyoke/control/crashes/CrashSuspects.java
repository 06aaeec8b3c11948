package io.damaskyoke.control.crashes;

import io.damaskyoke.control.LruMap;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the causes of crashes among the suspects that ran at them: {@code
 * suspects.recordCrash(crash, runs, at)}, then {@code suspects.causes(3, now)}.
 *
 * <p>The pattern: an upstream crashes with a dozen requests, of which one may be the cause and the
 * rest are innocent. The cause, a request that is retried or a prompt part that requests share, is
 * at the next crash too; the others succeed in between. So a suspect is held responsible only for
 * what several crashes have in common, and is cleared by one success. An unsuccessful answer clears
 * nothing, as an upstream may give one without running the request; it only counts as a survived
 * run.
 *
 * <p>While many upstreams crash, frequent prompt parts run at each crash and succeed rarely. So the
 * likeliest cause is found first, and the crashes that it explains count against no other suspect.
 */
public final class CrashSuspects {
    /** Crashes that are remembered, to tell simultaneous ones from others. */
    private static final int MAX_CRASHES = 1_024;

    /** The most causes that are told apart; further ones are found once these are quarantined. */
    private static final int MAX_CAUSES = 16;

    private final CrashSettings settings;
    private final Map<CrashSuspect, CrashEvidence> evidence;

    /** The suspects that ran at more than one crash; nearly all others ran at a single one. */
    private final Map<CrashSuspect, CrashEvidence> repeated;

    private final CrashTimes crashTimes = new CrashTimes(MAX_CRASHES);

    /** Creates a finder without suspects. */
    public CrashSuspects(CrashSettings settings) {
        this.settings = settings;
        this.evidence = new LruMap<>(settings.maxSuspects());
        this.repeated = new LruMap<>(settings.maxSuspects());
    }

    /**
     * Records that an upstream crashed with the given runs, as one router saw it.
     *
     * @param at when the upstream crashed
     */
    public void recordCrash(UpstreamCrash crash, List<CrashedRun> runs, Instant at) {
        crashTimes.record(crash, at);
        for (CrashedRun run : runs) {
            for (CrashSuspect suspect : run.request().suspects()) {
                addRun(suspect, crash, at.minus(run.runTime()), at);
            }
        }
    }

    private void addRun(CrashSuspect suspect, UpstreamCrash crash, Instant startedAt, Instant at) {
        CrashEvidence known = evidence.computeIfAbsent(suspect, any -> new CrashEvidence());
        known.addRun(crash, startedAt, at);
        if (known.crashes().size() > 1) {
            repeated.put(suspect, known);
        }
    }

    /**
     * Returns the likeliest causes of the recent crashes, the likeliest one first. Each explains at
     * least the given number of crashes that no earlier one explains.
     *
     * <p>A suspect that has succeeded before is a cause only where one that never has explains too
     * little. Of others, the one with most crashes comes first; then the one with fewest runs, as a
     * frequent prompt part is found at crashes that it has not caused.
     */
    public List<CrashSuspect> causes(int minCrashes, Instant now) {
        List<Candidate> candidates = candidates(minCrashes, now);
        List<CrashSuspect> causes = new ArrayList<>();
        Set<UpstreamCrash> explained = new HashSet<>();
        while (!candidates.isEmpty() && causes.size() < MAX_CAUSES) {
            Candidate likeliest = candidates.stream().min(Candidate.LIKELIEST_FIRST).orElseThrow();
            causes.add(likeliest.suspect);
            Set<UpstreamCrash> newlyExplained = likeliest.evidence.crashes();
            explained.addAll(newlyExplained);
            candidates =
                    candidates.stream()
                            .map(each -> recounted(each, newlyExplained, explained))
                            .filter(each -> each.crashes >= minCrashes)
                            .toList();
        }
        return causes;
    }

    private Candidate recounted(
            Candidate candidate, Set<UpstreamCrash> newlyExplained, Set<UpstreamCrash> explained) {
        boolean unchanged = Collections.disjoint(candidate.evidence.crashes(), newlyExplained);
        return unchanged ? candidate : candidate(candidate.suspect, candidate.evidence, explained);
    }

    /** Returns true if the suspect ran at several crashes that no success has cleared. */
    public boolean ranAtSeveralCrashes(CrashSuspect suspect) {
        return repeated.containsKey(suspect);
    }

    private List<Candidate> candidates(int minCrashes, Instant now) {
        Instant oldest = now.minus(settings.crashRetention());
        repeated.values().forEach(known -> known.removeBefore(oldest));
        repeated.values().removeIf(known -> known.crashes().size() < 2);
        return repeated.entrySet().stream()
                .map(each -> candidate(each.getKey(), each.getValue(), Set.of()))
                .filter(each -> each.crashes >= minCrashes)
                .filter(each -> each.crashes >= each.evidence.survivedRuns())
                .toList();
    }

    private Candidate candidate(
            CrashSuspect suspect, CrashEvidence known, Set<UpstreamCrash> explained) {
        return new Candidate(
                suspect, known, known.countedCrashes(crashTimes, explained), known.runCount());
    }

    /**
     * A suspect that may be a cause.
     *
     * @param crashes number of crashes that count against it and that nothing else explains
     * @param runs number of its runs at all its crashes
     */
    private record Candidate(CrashSuspect suspect, CrashEvidence evidence, int crashes, int runs) {
        static final Comparator<Candidate> LIKELIEST_FIRST =
                Comparator.comparing((Candidate each) -> each.evidence.hasSucceeded())
                        .thenComparing(each -> -each.crashes)
                        .thenComparing(Candidate::runs)
                        .thenComparing(Candidate::suspect);
    }

    /**
     * Returns the time of the suspect's n-th crash, if each crash is counted by itself, or empty if
     * there are fewer.
     */
    public Optional<Instant> crashTime(CrashSuspect suspect, int number) {
        return Optional.ofNullable(evidence.get(suspect)).flatMap(known -> known.crashTime(number));
    }

    /** Returns true if the suspect is known to have succeeded. */
    public boolean hasSucceeded(CrashSuspect suspect) {
        CrashEvidence known = evidence.get(suspect);
        return known != null && known.hasSucceeded();
    }

    /** Returns the time of the last counted crash, or {@link Instant#MIN} if there is none. */
    public Instant lastCrashAt(CrashSuspect suspect) {
        CrashEvidence known = evidence.get(suspect);
        return known == null ? Instant.MIN : known.lastCrashAt();
    }

    /** Records that upstreams survived this many runs of the suspect, none of which succeeded. */
    public void addSurvivedRuns(CrashSuspect suspect, int runs) {
        CrashEvidence known = evidence.get(suspect);
        if (known != null) {
            known.addSurvivedRuns(runs);
        }
    }

    /**
     * Returns the number of recent crashes that count against the suspect; those of one rack count
     * as one.
     */
    public int countedCrashes(CrashSuspect suspect, Instant now) {
        CrashEvidence known = evidence.get(suspect);
        if (known == null) {
            return 0;
        }
        known.removeBefore(now.minus(settings.crashRetention()));
        return known.countedCrashes(crashTimes, Set.of());
    }

    /** Records that the suspect succeeded: it is not the cause of crashes up to that time. */
    public void recordSuccess(CrashSuspect suspect, Instant at) {
        CrashEvidence known = evidence.get(suspect);
        if (known != null) {
            known.recordSuccess(at);
        }
    }

    /** Returns the number of tracked suspects. */
    public int size() {
        return evidence.size();
    }
}
