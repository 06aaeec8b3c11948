package io.damaskyoke.direct;

import io.damaskyoke.http.HttpCall;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.InstantSource;

/**
 * Delays the denial of a request until the configuration is confirmed to be current.
 *
 * <p>A key or a route may have been added just before the request came. Callers take a 401 or a 404
 * as final, so a denial based on an older configuration loses the request. The store is therefore
 * read first, once for all waiting requests. If it does not answer, the caller is asked to retry.
 */
final class DenialConfirmation {
    /**
     * Oldest age of a configuration that confirms a denial. A flood of unknown keys must not become
     * a flood of store reads.
     */
    private static final Duration MAX_CONFIGURATION_AGE = Duration.ofMillis(250);

    /**
     * Longest wait for the store, which takes milliseconds; in an outage callers learn of it soon.
     */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(300);

    /** Most waiting requests that a small VM can hold; any others are asked to retry at once. */
    private static final int MAX_WAITING = 512;

    private final OperatorSettingsFollower operatorFollower;
    private final InstantSource clock;
    private final Metrics metrics;
    private int waitingCount;

    DenialConfirmation(
            OperatorSettingsFollower operatorFollower, InstantSource clock, Metrics metrics) {
        this.operatorFollower = operatorFollower;
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Waits until the configuration is confirmed to be current.
     *
     * @param call the request to deny
     * @param confirmed runs when the configuration is recent enough
     * @param unconfirmed runs when that cannot be confirmed in time, or too many requests wait
     */
    void confirm(HttpCall call, Runnable confirmed, Runnable unconfirmed) {
        if (waitingCount >= MAX_WAITING) {
            unconfirmed.run();
            return;
        }
        waitingCount++;
        metrics.count("direct_denials_checked");
        operatorFollower.whenCompleteUpTo(
                clock.instant().minus(MAX_CONFIGURATION_AGE),
                CONFIRMATION_TIMEOUT,
                current -> {
                    waitingCount--;
                    if (!call.over()) {
                        (current ? confirmed : unconfirmed).run();
                    }
                });
    }
}
