package io.damaskyoke.control.crashes;

import io.damaskyoke.control.RecentlyUsed;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the upstreams that ended under each request: {@code suspects.ended(end, ran, at, now)}.
 *
 * <p>The pattern: an upstream ends with a dozen requests, of which one may have done it and the
 * rest are innocent. The one comes again and is there at the next end; the others come again too,
 * once or twice, and are answered. So a request is held to be the cause only by what several ends
 * have in common, and cleared by one success. An answer that is no success clears nothing, as an
 * upstream may give one without running the request; it only counts for it.
 */
public final class Suspects {
    /** Routers' words of when something was may differ by this. */
    private static final Duration INEXACT = Duration.ofMillis(50);

    private final CrashSettings settings;
    private final Map<RequestDigest, Evidence> evidence;

    /** What speaks against a request, and what for it. */
    private static final class Evidence {
        private final Map<UpstreamEnd, Instant> ends = new HashMap<>();
        private int borne;
    }

    /** Nothing is suspected yet. */
    public Suspects(CrashSettings settings) {
        this.settings = settings;
        this.evidence = new RecentlyUsed<>(settings.mostSuspects());
    }

    /**
     * An upstream has ended while these ran there, as one router saw it.
     *
     * @param ran how long each of them had run
     * @param at when the upstream ended
     * @return those under which enough upstreams have ended by now
     */
    public List<RequestDigest> ended(
            UpstreamEnd end, Map<RequestDigest, Duration> ran, Instant at, Instant now) {
        ran.forEach(
                (request, time) -> {
                    var known = evidence.computeIfAbsent(request, any -> new Evidence()).ends;
                    if (beganAfter(known, at.minus(time).plus(INEXACT))) {
                        known.putIfAbsent(end, at);
                    }
                });
        return ran.keySet().stream().filter(each -> convicts(each, now)).toList();
    }

    /**
     * True if enough upstreams have ended under it, and no fewer than have borne it. A request that
     * is asked over and over and always fails is borne many times as often as upstreams end.
     */
    public boolean convicts(RequestDigest request, Instant now) {
        int count = count(request, now);
        return count >= settings.ends() && count >= evidence.get(request).borne;
    }

    /** When the last upstream that is counted ended under it. */
    public Instant lastEnd(RequestDigest request) {
        Evidence known = evidence.get(request);
        return known == null
                ? Instant.MIN
                : known.ends.values().stream().max(Instant::compareTo).orElse(Instant.MIN);
    }

    /** An upstream took it and did not end, though it gave no success. */
    public void borne(RequestDigest request) {
        Evidence known = evidence.get(request);
        if (known != null) {
            known.borne++;
        }
    }

    // One that ran at several upstreams when all of them ended, as those of a rack do, has not
    // ended
    // them one after the other.
    private static boolean beganAfter(Map<UpstreamEnd, Instant> known, Instant began) {
        return known.values().stream().noneMatch(began::isBefore);
    }

    /** How many upstreams have ended under the request, of late. */
    public int count(RequestDigest request, Instant now) {
        Evidence known = evidence.get(request);
        if (known == null) {
            return 0;
        }
        known.ends.values().removeIf(at -> at.plus(settings.remembered()).isBefore(now));
        return known.ends.size();
    }

    /** It was answered with a success: it is not the cause. */
    public void cleared(RequestDigest request) {
        evidence.remove(request);
    }

    /** How many requests are remembered. */
    public int size() {
        return evidence.size();
    }
}
