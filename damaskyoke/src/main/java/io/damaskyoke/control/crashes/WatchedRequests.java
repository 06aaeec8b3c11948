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
    private final int most;
    private final Duration time;
    private final Map<RequestDigest, Instant> until = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param most maximum number of watched requests
     * @param time how long a request is watched after it was last added
     */
    public WatchedRequests(int most, Duration time) {
        this.most = most;
        this.time = time;
    }

    /**
     * Starts to watch a request, or extends its time; returns true if it was not watched. A new
     * request is not added when the set is full.
     */
    public boolean add(RequestDigest request, Instant now) {
        removeExpired(now);
        boolean news = !contains(request);
        if (!news || until.size() < most) {
            until.put(request, now.plus(time));
        }
        return news;
    }

    /** Removes the requests whose time is over. */
    public void removeExpired(Instant now) {
        until.values().removeIf(each -> each.isBefore(now));
    }

    /** Stops watching the request. */
    public void remove(RequestDigest request) {
        until.remove(request);
    }

    /** Returns true if the request is watched. */
    public boolean contains(RequestDigest request) {
        return until.containsKey(request);
    }

    /** Returns true if no request is watched. */
    public boolean isEmpty() {
        return until.isEmpty();
    }

    /** Returns the number of watched requests. */
    public int size() {
        return until.size();
    }
}
