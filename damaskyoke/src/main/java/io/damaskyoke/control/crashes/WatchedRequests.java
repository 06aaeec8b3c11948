package io.damaskyoke.control.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Holds the requests that need one more crash to be poison requests: {@code watched.add(digest,
 * now)}. While there is one, a digest is computed for each answer, so requests are removed after
 * some time.
 */
public final class WatchedRequests {
    private final int maxWatched;
    private final Duration watchTime;
    private final Map<RequestDigest, Instant> watchedUntil = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param maxWatched maximum number of watched requests
     * @param watchTime how long a request is watched after it was last added
     */
    public WatchedRequests(int maxWatched, Duration watchTime) {
        this.maxWatched = maxWatched;
        this.watchTime = watchTime;
    }

    /**
     * Starts to watch a request, or extends its time; returns true if it was not watched. A new
     * request is not added when the set is full.
     */
    public boolean add(RequestDigest request, Instant now) {
        removeExpired(now);
        boolean added = !contains(request);
        if (!added || watchedUntil.size() < maxWatched) {
            watchedUntil.put(request, now.plus(watchTime));
        }
        return added;
    }

    /** Removes the requests whose time is over. */
    public void removeExpired(Instant now) {
        watchedUntil.values().removeIf(each -> each.isBefore(now));
    }

    /** Stops watching the request. */
    public void remove(RequestDigest request) {
        watchedUntil.remove(request);
    }

    /** Returns true if the request is watched. */
    public boolean contains(RequestDigest request) {
        return watchedUntil.containsKey(request);
    }

    /** Returns true if no request is watched. */
    public boolean isEmpty() {
        return watchedUntil.isEmpty();
    }

    /** Returns the number of watched requests. */
    public int size() {
        return watchedUntil.size();
    }
}
