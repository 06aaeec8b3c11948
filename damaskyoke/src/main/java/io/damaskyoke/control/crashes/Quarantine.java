package io.damaskyoke.control.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Requests that are kept from all upstreams: {@code quarantine.left(digest, tries, now)}.
 *
 * <p>After a while one may be tried again, since the next release of the upstreams may bear it;
 * each time that it fails again it is kept out for longer, and in the end for good.
 */
public final class Quarantine {
    /** Longer than any process of a router lives. */
    private static final Duration FOR_GOOD = Duration.ofDays(30);

    /** Until a trial has shown something, and what others are told who may not try. */
    private static final Duration TRIAL = Duration.ofMinutes(1);

    private static final int LONGER = 3;

    private final CrashSettings settings;
    private final Map<RequestDigest, Entry> entries = new TreeMap<>();

    /**
     * One request that is kept out.
     *
     * @param until when it may be tried once
     * @param trials how often it was tried already
     * @param lastEnd when the last upstream that was counted ended under it
     */
    public record Entry(RequestDigest request, Instant until, int trials, Instant lastEnd) {}

    /** Nothing is kept out yet. */
    public Quarantine(CrashSettings settings) {
        this.settings = settings;
    }

    /**
     * Enough upstreams have ended under it, the last one then: keeps it out.
     *
     * @return what is news, or empty if it is kept out for as long already, or too many are
     */
    public Optional<Entry> add(RequestDigest request, Instant lastEnd, Instant now) {
        Entry known = entries.get(request);
        int trials = known == null ? 0 : known.trials();
        Entry entry = new Entry(request, now.plus(time(trials)), trials, lastEnd);
        return told(entry) ? Optional.of(entry) : Optional.empty();
    }

    private Duration time(int trials) {
        return trials >= settings.trials()
                ? FOR_GOOD
                : settings.quarantine().multipliedBy((long) Math.pow(LONGER, trials));
    }

    /** Another router says so; the longer time counts. True if that is news. */
    public boolean told(Entry entry) {
        Entry known = entries.get(entry.request());
        if (known == null && entries.size() >= settings.mostQuarantined()) {
            return false;
        }
        if (known != null && !known.until().isBefore(entry.until())) {
            return false;
        }
        entries.put(entry.request(), entry);
        return true;
    }

    /**
     * A run of it that was sent then has succeeded. One that was sent before the last end proves
     * nothing against what is known since.
     *
     * @return true if it is kept out no longer
     */
    public boolean cleared(RequestDigest request, Instant sentAt) {
        Entry known = entries.get(request);
        boolean stays = known != null && !sentAt.isAfter(known.lastEnd());
        if (!stays) {
            entries.remove(request);
        }
        return !stays;
    }

    /**
     * How long it is still kept out; empty if it may go to an upstream. Of all routers one {@code
     * tries}, so that it is let through once and not once by each.
     */
    public Optional<Duration> left(RequestDigest request, boolean tries, Instant now) {
        Entry known = entries.get(request);
        if (known == null) {
            return Optional.empty();
        }
        if (now.isBefore(known.until())) {
            return Optional.of(Duration.between(now, known.until()));
        }
        if (!tries) {
            return Optional.of(TRIAL);
        }
        if (known.trials() >= settings.trials()) {
            return Optional.of(FOR_GOOD);
        }
        entries.put(request, trial(known, now));
        return Optional.empty();
    }

    private static Entry trial(Entry known, Instant now) {
        return new Entry(known.request(), now.plus(TRIAL), known.trials() + 1, known.lastEnd());
    }

    /** True if it is kept out, or is being tried. */
    public boolean knows(RequestDigest request) {
        return entries.containsKey(request);
    }

    /** What is held of the request. */
    public Optional<Entry> find(RequestDigest request) {
        return Optional.ofNullable(entries.get(request));
    }

    /** True if it may not go to an upstream now. */
    public boolean keepsOut(RequestDigest request, Instant now) {
        return knows(request) && now.isBefore(entries.get(request).until());
    }

    /** True if nothing is kept out, so that no request need be looked at. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** How many are kept out. */
    public int size() {
        return entries.size();
    }

    /** All that is kept out, for a router that has just come. */
    public List<Entry> all() {
        return new ArrayList<>(entries.values());
    }
}
