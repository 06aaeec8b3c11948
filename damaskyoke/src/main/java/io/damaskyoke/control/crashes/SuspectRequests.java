package io.damaskyoke.control.crashes;

import io.damaskyoke.control.LruMap;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the upstreams that crashed under each request: {@code suspects.recordCrash(crash, ran, at,
 * now)}.
 *
 * <p>The pattern: an upstream crashes with a dozen requests, of which one may be the cause and the
 * rest are innocent. The poison request is retried and runs at the next crash too; the others are
 * retried once or twice and succeed. So a request is held responsible only for what several crashes
 * have in common, and is cleared by one success. An unsuccessful answer clears nothing, as an
 * upstream may give one without running the request; it only counts as a survived run.
 */
public final class SuspectRequests {
    /** Crashes that are remembered, to tell simultaneous ones from others. */
    private static final int MAX_CRASHES = 1_024;

    private final CrashSettings settings;
    private final Map<RequestDigest, CrashEvidence> evidence;
    private final Map<UpstreamCrash, Instant> crashes = new LruMap<>(MAX_CRASHES);

    /** Creates a counter without suspects. */
    public SuspectRequests(CrashSettings settings) {
        this.settings = settings;
        this.evidence = new LruMap<>(settings.maxSuspects());
    }

    /**
     * Records that an upstream crashed while the given requests ran there, as one router saw it.
     *
     * @param ran how long each of them had run
     * @param at when the upstream crashed
     * @return those of them that are poison requests by now
     */
    public List<RequestDigest> recordCrash(
            UpstreamCrash crash, Map<RequestDigest, Duration> ran, Instant at, Instant now) {
        crashes.putIfAbsent(crash, at);
        ran.forEach(
                (request, time) ->
                        evidence.computeIfAbsent(request, any -> new CrashEvidence())
                                .addCrash(crash, at.minus(time), at));
        return ran.keySet().stream().filter(each -> isPoisonRequest(each, now)).toList();
    }

    /**
     * Returns true if the request is a poison request: enough upstreams have crashed under it, and
     * at least as many as have survived it. A request that is sent again and again and always fails
     * is survived many times as often as upstreams crash.
     */
    public boolean isPoisonRequest(RequestDigest request, Instant now) {
        int count = countedCrashes(request, now);
        return count >= settings.crashThreshold() && count >= evidence.get(request).survivedRuns();
    }

    /**
     * Returns when the request reached the number of crashes, if each crash is counted by itself,
     * or empty if it has not.
     */
    public Optional<Instant> thresholdReachedAt(RequestDigest request) {
        return Optional.ofNullable(evidence.get(request))
                .flatMap(known -> known.crashTime(settings.crashThreshold()));
    }

    /** Returns the time of the last counted crash, or {@link Instant#MIN} if there is none. */
    public Instant lastCrashAt(RequestDigest request) {
        CrashEvidence known = evidence.get(request);
        return known == null ? Instant.MIN : known.lastCrashAt();
    }

    /** Records that upstreams survived this many runs of the request, none of which succeeded. */
    public void addSurvivedRuns(RequestDigest request, int runs) {
        CrashEvidence known = evidence.get(request);
        if (known != null) {
            known.addSurvivedRuns(runs);
        }
    }

    /**
     * Returns the number of recent crashes that count against the request; those of one rack count
     * as one.
     */
    public int countedCrashes(RequestDigest request, Instant now) {
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
    public void recordSuccess(RequestDigest request, Instant at) {
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
