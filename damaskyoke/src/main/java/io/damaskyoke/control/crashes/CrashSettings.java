package io.damaskyoke.control.crashes;

import java.time.Duration;

/**
 * Thresholds that decide when a request counts as a poison request (one that crashes upstreams),
 * and how long it is quarantined.
 *
 * @param ends number of counted crashes from which a request is a poison request
 * @param remembered how long a crash counts
 * @param quarantine length of the first quarantine
 * @param trials number of trials, one at a time, after which a request is quarantined for good
 * @param mostQuarantined maximum number of quarantined requests; beyond it the crashes have another
 *     cause, for example a faulty release
 * @param mostSuspects maximum number of requests that are tracked; the least recently seen ones are
 *     evicted
 */
public record CrashSettings(
        int ends,
        Duration remembered,
        Duration quarantine,
        int trials,
        int mostQuarantined,
        int mostSuspects) {
    /** Returns the default settings, which suit all known deployments. */
    public static CrashSettings usual() {
        return new CrashSettings(3, Duration.ofMinutes(10), Duration.ofMinutes(10), 2, 64, 4_096);
    }
}
