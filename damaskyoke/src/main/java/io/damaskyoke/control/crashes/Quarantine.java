package io.damaskyoke.control.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Keeps the suspects that crash upstreams away from all of them: {@code
 * quarantine.tryAdmit(suspect, mayTry, now)}.
 *
 * <p>When its quarantine is over, a suspect gets a trial, since a newer release of the upstreams
 * may survive it. Each failed trial is followed by a longer quarantine, and after the last one the
 * suspect is quarantined for good.
 */
public final class Quarantine {
    /** Longer than any router process runs. */
    private static final Duration PERMANENT = Duration.ofDays(30);

    /**
     * Time within which a trial shows its result; also the delay for routers that may not make the
     * trial.
     */
    private static final Duration TRIAL_TIME = Duration.ofMinutes(1);

    /** Factor by which each failed trial lengthens the next quarantine. */
    private static final int QUARANTINE_GROWTH = 3;

    private final CrashSettings settings;
    private final Map<CrashSuspect, Entry> entries = new TreeMap<>();

    /**
     * One quarantined request or prompt part.
     *
     * @param until when the suspect may get its next trial
     * @param trials number of trials so far
     * @param lastCrashAt time of the last counted crash
     */
    public record Entry(CrashSuspect suspect, Instant until, int trials, Instant lastCrashAt) {}

    /** Creates an empty quarantine. */
    public Quarantine(CrashSettings settings) {
        this.settings = settings;
    }

    /**
     * Quarantines a suspect that has reached the number of crashes.
     *
     * @param lastCrashAt time of the last counted crash
     * @return the new entry to announce, or empty if the suspect is already quarantined for as
     *     long, or the quarantine is full
     */
    public Optional<Entry> add(CrashSuspect suspect, Instant lastCrashAt, Instant now) {
        Entry known = entries.get(suspect);
        int trials = known == null ? 0 : known.trials();
        Entry entry =
                new Entry(suspect, now.plus(quarantineTime(suspect, trials)), trials, lastCrashAt);
        return merge(entry) ? Optional.of(entry) : Optional.empty();
    }

    /** Returns how long the suspect is quarantined after this many trials. */
    public Duration quarantineTime(CrashSuspect suspect, int trials) {
        if (trials >= settings.maxTrials()) {
            return PERMANENT;
        }
        if (suspect.isPromptPart()) {
            return trials == 0 ? settings.firstPartQuarantine() : settings.firstQuarantine();
        }
        return settings.firstQuarantine().multipliedBy((long) Math.pow(QUARANTINE_GROWTH, trials));
    }

    /**
     * Merges an entry that another router announced; the later end of the two quarantines applies.
     * Returns true if this changed the quarantine.
     */
    public boolean merge(Entry entry) {
        Entry known = entries.get(entry.suspect());
        if (known == null && entries.size() >= settings.maxQuarantined()) {
            return false;
        }
        if (known != null && !known.until().isBefore(entry.until())) {
            return false;
        }
        entries.put(entry.suspect(), entry);
        return true;
    }

    /**
     * Records that a run of the suspect succeeded. A run that was sent before the last counted
     * crash proves nothing, and the suspect stays quarantined.
     *
     * @param sentAt when the successful run was sent
     * @return true if the suspect is not quarantined any more
     */
    public boolean recordSuccess(CrashSuspect suspect, Instant sentAt) {
        Entry known = entries.get(suspect);
        boolean stays = known != null && !sentAt.isAfter(known.lastCrashAt());
        if (!stays) {
            entries.remove(suspect);
        }
        return !stays;
    }

    /**
     * Decides whether a suspect may be sent to an upstream, and starts a trial if one is due.
     *
     * @param mayTry whether this router makes the trials of the suspect; one router of all does, so
     *     that the suspect is let through once and not once by each
     * @return how long the suspect stays quarantined, or empty if it may be sent
     */
    public Optional<Duration> tryAdmit(CrashSuspect suspect, boolean mayTry, Instant now) {
        Entry known = entries.get(suspect);
        if (known == null) {
            return Optional.empty();
        }
        if (now.isBefore(known.until())) {
            return Optional.of(Duration.between(now, known.until()));
        }
        if (!mayTry) {
            return Optional.of(TRIAL_TIME);
        }
        if (known.trials() >= settings.maxTrials()) {
            return Optional.of(PERMANENT);
        }
        entries.put(suspect, entryOnTrial(known, now));
        return Optional.empty();
    }

    private static Entry entryOnTrial(Entry known, Instant now) {
        return new Entry(
                known.suspect(), now.plus(TRIAL_TIME), known.trials() + 1, known.lastCrashAt());
    }

    /** Returns true if the suspect is quarantined or on trial. */
    public boolean contains(CrashSuspect suspect) {
        return entries.containsKey(suspect);
    }

    /** Returns the entry of the suspect. */
    public Optional<Entry> find(CrashSuspect suspect) {
        return Optional.ofNullable(entries.get(suspect));
    }

    /** Returns true if the suspect must not be sent to an upstream now. */
    public boolean isQuarantined(CrashSuspect suspect, Instant now) {
        return contains(suspect) && now.isBefore(entries.get(suspect).until());
    }

    /** Returns true if nothing is quarantined, so that no request need be identified. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns the number of quarantined suspects, those on trial included. */
    public int size() {
        return entries.size();
    }

    /** Returns all entries, for a router that has just joined. */
    public List<Entry> entries() {
        return new ArrayList<>(entries.values());
    }
}
