package io.damaskyoke.control.crashes;

import io.damaskyoke.control.LruMap;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Counts the upstreams that crashed under each suspect: {@code suspects.recordCrash(crash, runs,
 * at, now)}.
 *
 * <p>The pattern: an upstream crashes with a dozen requests, of which one may be the cause and the
 * rest are innocent. The poison request is retried and runs at the next crash too; the others are
 * retried once or twice and succeed. So a request is held responsible only for what several crashes
 * have in common, and is cleared by one success. An unsuccessful answer clears nothing, as an
 * upstream may give one without running the request; it only counts as a survived run.
 */
public final class CrashSuspects {
    /** Crashes that are remembered, to tell simultaneous ones from others. */
    private static final int MAX_CRASHES = 1_024;

    private final CrashSettings settings;
    private final Map<CrashSuspect, CrashEvidence> evidence;
    private final Map<UpstreamCrash, Instant> crashes = new LruMap<>(MAX_CRASHES);

    /** Creates a counter without suspects. */
    public CrashSuspects(CrashSettings settings) {
        this.settings = settings;
        this.evidence = new LruMap<>(settings.maxSuspects());
    }

    /**
     * Records that an upstream crashed with the given runs, as one router saw it.
     *
     * @param at when the upstream crashed
     * @return the requests among them that are poison requests by now
     */
    public List<CrashSuspect> recordCrash(
            UpstreamCrash crash, List<CrashedRun> runs, Instant at, Instant now) {
        crashes.putIfAbsent(crash, at);
        for (CrashedRun run : runs) {
            for (CrashSuspect suspect : run.request().suspects()) {
                evidence.computeIfAbsent(suspect, any -> new CrashEvidence())
                        .addCrash(crash, at.minus(run.runTime()), at);
            }
        }
        return runs.stream()
                .map(run -> run.request().request())
                .filter(each -> isPoisonRequest(each, now))
                .toList();
    }

    /** Returns the suspects with most counted crashes, two at least, as {@code suspect: count}. */
    public List<String> describeMostCrashed(int most, Instant now) {
        Map<CrashSuspect, Integer> counts = new TreeMap<>();
        for (CrashSuspect each : List.copyOf(evidence.keySet())) {
            int count = countedCrashes(each, now);
            if (count > 1) {
                counts.put(each, count);
            }
        }
        return counts.entrySet().stream()
                .sorted(Map.Entry.<CrashSuspect, Integer>comparingByValue().reversed())
                .limit(most)
                .map(each -> each.getKey() + ": " + each.getValue())
                .toList();
    }

    /**
     * Returns true if the request is a poison request: enough upstreams have crashed under it, and
     * at least as many as have survived it. A request that is sent again and again and always fails
     * is survived many times as often as upstreams crash.
     */
    public boolean isPoisonRequest(CrashSuspect request, Instant now) {
        int count = countedCrashes(request, now);
        return count >= settings.crashThreshold() && count >= evidence.get(request).survivedRuns();
    }

    /**
     * Returns when the request reached the number of crashes, if each crash is counted by itself,
     * or empty if it has not.
     */
    public Optional<Instant> thresholdReachedAt(CrashSuspect request) {
        return Optional.ofNullable(evidence.get(request))
                .flatMap(known -> known.crashTime(settings.crashThreshold()));
    }

    /** Returns the time of the last counted crash, or {@link Instant#MIN} if there is none. */
    public Instant lastCrashAt(CrashSuspect request) {
        CrashEvidence known = evidence.get(request);
        return known == null ? Instant.MIN : known.lastCrashAt();
    }

    /** Records that upstreams survived this many runs of the request, none of which succeeded. */
    public void addSurvivedRuns(CrashSuspect request, int runs) {
        CrashEvidence known = evidence.get(request);
        if (known != null) {
            known.addSurvivedRuns(runs);
        }
    }

    /**
     * Returns the number of recent crashes that count against the request; those of one rack count
     * as one.
     */
    public int countedCrashes(CrashSuspect request, Instant now) {
        CrashEvidence known = evidence.get(request);
        if (known == null) {
            return 0;
        }
        known.removeBefore(now.minus(settings.crashRetention()));
        return known.countedCrashes(this::crashesBetween);
    }

    private long crashesBetween(Instant from, Instant to) {
        return crashes.values().stream()
                .filter(at -> !at.isBefore(from) && !at.isAfter(to))
                .count();
    }

    /** Records that the request succeeded: it is not the cause of crashes up to that time. */
    public void recordSuccess(CrashSuspect request, Instant at) {
        CrashEvidence known = evidence.get(request);
        if (known != null) {
            known.recordSuccess(at);
        }
    }

    /** Returns the number of tracked requests. */
    public int size() {
        return evidence.size();
    }
}
