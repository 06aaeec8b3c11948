package io.damaskyoke.control.crashes;

import java.time.Duration;

/**
 * Thresholds that decide when a request counts as a poison request (one that crashes upstreams),
 * and how long it is quarantined.
 *
 * @param crashThreshold number of counted crashes from which a request is a poison request
 * @param crashRetention how long a crash counts
 * @param firstQuarantine length of the first quarantine
 * @param maxTrials number of trials, one at a time, after which a request is quarantined for good
 * @param maxQuarantined maximum number of quarantined requests; beyond it the crashes have another
 *     cause, for example a faulty release
 * @param maxSuspects maximum number of requests that are tracked; the least recently seen ones are
 *     evicted
 */
public record CrashSettings(
        int crashThreshold,
        Duration crashRetention,
        Duration firstQuarantine,
        int maxTrials,
        int maxQuarantined,
        int maxSuspects) {
    /** Returns the default settings, which suit all known deployments. */
    public static CrashSettings defaults() {
        return new CrashSettings(3, Duration.ofMinutes(10), Duration.ofMinutes(10), 2, 64, 4_096);
    }
}
