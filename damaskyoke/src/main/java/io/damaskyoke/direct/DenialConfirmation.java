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
    private static final Duration NEW_ENOUGH = Duration.ofMillis(250);

    /**
     * Longest wait for the store, which takes milliseconds; in an outage callers learn of it soon.
     */
    private static final Duration LIMIT = Duration.ofMillis(300);

    /** Most waiting requests that a small VM can hold; any others are asked to retry at once. */
    private static final int MOST = 512;

    private final OperatorFollower followed;
    private final InstantSource clock;
    private final Metrics metrics;
    private int waiting;

    DenialConfirmation(OperatorFollower followed, InstantSource clock, Metrics metrics) {
        this.followed = followed;
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Waits until the configuration is confirmed to be current.
     *
     * @param call the request to deny
     * @param known runs when the configuration is recent enough
     * @param unknown runs when that cannot be confirmed in time, or too many requests wait
     */
    void confirm(HttpCall call, Runnable known, Runnable unknown) {
        if (waiting >= MOST) {
            unknown.run();
            return;
        }
        waiting++;
        metrics.count("direct_denials_checked");
        followed.whenKnown(
                clock.instant().minus(NEW_ENOUGH),
                LIMIT,
                newest -> {
                    waiting--;
                    if (!call.over()) {
                        (newest ? known : unknown).run();
                    }
                });
    }
}
