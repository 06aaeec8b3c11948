package io.damaskyoke.direct;

import io.damaskyoke.http.HttpCall;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.InstantSource;

/**
 * Says no to a caller only by a configuration that was in force when the request came.
 *
 * <p>A key or a route may have been added a moment ago. Callers take a 401 or a 404 for final, and
 * one said by an older configuration is a request lost. So the store is asked first, once for all
 * who wait; if it doesn't answer, nobody knows, and the caller is told to come back.
 */
final class Denials {
    /** Floods of unknown keys must not become floods of calls to the store. */
    private static final Duration NEW_ENOUGH = Duration.ofMillis(250);

    /** The store takes milliseconds; while it is out, callers should hear so soon. */
    private static final Duration LIMIT = Duration.ofMillis(300);

    /** What a small VM can hold; the rest is told at once to come back. */
    private static final int MOST = 512;

    private final OperatorSettingsFollower followed;
    private final InstantSource clock;
    private final Metrics metrics;
    private int waiting;

    Denials(OperatorSettingsFollower followed, InstantSource clock, Metrics metrics) {
        this.followed = followed;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Runs {@code known} when the configuration is new enough, or {@code unknown}. */
    void decide(HttpCall call, Runnable known, Runnable unknown) {
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
