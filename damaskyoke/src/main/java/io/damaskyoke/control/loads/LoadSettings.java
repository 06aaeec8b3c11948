package io.damaskyoke.control.loads;

import java.time.Duration;

/**
 * Time limits of a {@link LoadPlanner}.
 *
 * @param storeRateWindow window over which the weight store limits the number of loads
 * @param orderTimeout how long an order may stay unanswered
 */
public record LoadSettings(Duration storeRateWindow, Duration orderTimeout) {
    /** Returns limits that suit the deployments known so far. */
    public static LoadSettings defaults() {
        return new LoadSettings(Duration.ofSeconds(5), Duration.ofSeconds(1));
    }
}
