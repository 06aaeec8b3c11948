package io.damaskyoke.control.crashes;

import java.time.Duration;

/**
 * Thresholds that decide when a request or a prompt part counts as the cause of crashes, and how
 * long it is quarantined.
 *
 * @param crashThreshold number of counted crashes from which a suspect is a cause
 * @param crashRetention how long a crash counts
 * @param firstQuarantine length of a request's first quarantine
 * @param firstPartQuarantine length of a prompt part's first quarantine, which is short: a sound
 *     part that is quarantined by mistake keeps many callers out
 * @param maxTrials number of trials, one at a time, after which a suspect is quarantined for good
 * @param maxQuarantined maximum number of quarantined suspects; beyond it the crashes have another
 *     cause, for example a faulty release
 * @param maxSuspects maximum number of suspects that are tracked; the least recently seen ones are
 *     evicted
 */
public record CrashSettings(
        int crashThreshold,
        Duration crashRetention,
        Duration firstQuarantine,
        Duration firstPartQuarantine,
        int maxTrials,
        int maxQuarantined,
        int maxSuspects) {
    /** Returns the default settings, which suit all known deployments. */
    public static CrashSettings defaults() {
        return new CrashSettings(
                3,
                Duration.ofMinutes(10),
                Duration.ofMinutes(10),
                Duration.ofSeconds(5),
                2,
                64,
                4_096);
    }
}
