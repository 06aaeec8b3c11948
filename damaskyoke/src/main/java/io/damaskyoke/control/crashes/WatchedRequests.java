package io.damaskyoke.control.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Requests for which one more end would be enough: {@code watched.add(digest, now)}. While there is
 * one, each answer costs a digest, so they are forgotten after a while.
 */
public final class WatchedRequests {
    private final int most;
    private final Duration time;
    private final Map<RequestDigest, Instant> until = new HashMap<>();

    /** So many are watched at the most, each for that time after the last word of it. */
    public WatchedRequests(int most, Duration time) {
        this.most = most;
        this.time = time;
    }

    /** Watches it from now on; true if it was not watched. */
    public boolean add(RequestDigest request, Instant now) {
        forgetOld(now);
        boolean news = !contains(request);
        if (!news || until.size() < most) {
            until.put(request, now.plus(time));
        }
        return news;
    }

    /** Forgets those whose time is over. */
    public void forgetOld(Instant now) {
        until.values().removeIf(each -> each.isBefore(now));
    }

    /** It need not be watched any more. */
    public void remove(RequestDigest request) {
        until.remove(request);
    }

    /** True if it is watched. */
    public boolean contains(RequestDigest request) {
        return until.containsKey(request);
    }

    /** True if none is watched. */
    public boolean isEmpty() {
        return until.isEmpty();
    }

    /** How many are watched. */
    public int size() {
        return until.size();
    }
}
