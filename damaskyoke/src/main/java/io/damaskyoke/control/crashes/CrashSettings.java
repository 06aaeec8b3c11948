package io.damaskyoke.control.crashes;

import java.time.Duration;

/**
 * When a request counts as one that ends upstreams, and what follows.
 *
 * @param ends so many upstreams have ended under it
 * @param remembered how long an end counts
 * @param quarantine how long it is kept from upstreams for the first time
 * @param trials how often it is let through again, one at a time, before it is kept out for good
 * @param mostQuarantined with more than these something else ends upstreams, a release for example
 * @param mostSuspects requests that are remembered; those seen longest ago go
 */
public record CrashSettings(
        int ends,
        Duration remembered,
        Duration quarantine,
        int trials,
        int mostQuarantined,
        int mostSuspects) {
    /** What suits all deployments known so far. */
    public static CrashSettings usual() {
        return new CrashSettings(3, Duration.ofMinutes(10), Duration.ofMinutes(10), 2, 64, 4_096);
    }
}
