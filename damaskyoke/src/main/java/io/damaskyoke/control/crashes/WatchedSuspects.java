package io.damaskyoke.control.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Holds the suspects that are quarantined after one more crash: {@code watched.add(suspect, now)}.
 * While there is one, each answered request is identified, so suspects are removed after some time.
 */
public final class WatchedSuspects {
    private final int maxWatched;
    private final Duration watchTime;
    private final Map<CrashSuspect, Instant> watchedUntil = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param maxWatched maximum number of watched suspects
     * @param watchTime how long a suspect is watched after it was last added
     */
    public WatchedSuspects(int maxWatched, Duration watchTime) {
        this.maxWatched = maxWatched;
        this.watchTime = watchTime;
    }

    /**
     * Starts to watch a suspect, or extends its time; returns true if it was not watched. A new
     * suspect is not added when the set is full.
     */
    public boolean add(CrashSuspect suspect, Instant now) {
        removeExpired(now);
        boolean added = !contains(suspect);
        if (!added || watchedUntil.size() < maxWatched) {
            watchedUntil.put(suspect, now.plus(watchTime));
        }
        return added;
    }

    /** Removes the suspects whose time is over. */
    public void removeExpired(Instant now) {
        watchedUntil.values().removeIf(each -> each.isBefore(now));
    }

    /** Stops watching the suspect. */
    public void remove(CrashSuspect suspect) {
        watchedUntil.remove(suspect);
    }

    /** Returns true if the suspect is watched. */
    public boolean contains(CrashSuspect suspect) {
        return watchedUntil.containsKey(suspect);
    }

    /** Returns true if nothing is watched. */
    public boolean isEmpty() {
        return watchedUntil.isEmpty();
    }

    /** Returns the number of watched suspects. */
    public int size() {
        return watchedUntil.size();
    }
}
