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
 * have in common, and cleared by one whole answer.
 */
public final class Suspects {
    /** Routers' words of when something was may differ by this. */
    private static final Duration INEXACT = Duration.ofMillis(50);

    private final CrashSettings settings;
    private final Map<RequestDigest, Map<UpstreamEnd, Instant>> ends;

    /** Nothing is suspected yet. */
    public Suspects(CrashSettings settings) {
        this.settings = settings;
        this.ends = new RecentlyUsed<>(settings.mostSuspects());
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
                    var known = ends.computeIfAbsent(request, any -> new HashMap<>());
                    if (beganAfter(known, at.minus(time).plus(INEXACT))) {
                        known.putIfAbsent(end, at);
                    }
                });
        return ran.keySet().stream().filter(each -> count(each, now) >= settings.ends()).toList();
    }

    // One that ran at several upstreams when all of them ended, as those of a rack do, has not
    // ended
    // them one after the other.
    private static boolean beganAfter(Map<UpstreamEnd, Instant> known, Instant began) {
        return known.values().stream().noneMatch(began::isBefore);
    }

    /** How many upstreams have ended under the request, of late. */
    public int count(RequestDigest request, Instant now) {
        Map<UpstreamEnd, Instant> known = ends.get(request);
        if (known == null) {
            return 0;
        }
        known.values().removeIf(at -> at.plus(settings.remembered()).isBefore(now));
        return known.size();
    }

    /** It was answered in full: it is not the cause. */
    public void cleared(RequestDigest request) {
        ends.remove(request);
    }

    /** How many requests are remembered. */
    public int size() {
        return ends.size();
    }
}
