package io.damaskyoke.control.loads;

import java.time.Duration;

/**
 * Time limits of a {@link LoadPlanner}.
 *
 * @param ceilingWindow window over which the weight store limits the number of loads
 * @param orderLimit how long an order may stay unanswered
 */
public record LoadSettings(Duration ceilingWindow, Duration orderLimit) {
    /** Returns limits that suit the deployments known so far. */
    public static LoadSettings usual() {
        return new LoadSettings(Duration.ofSeconds(5), Duration.ofSeconds(1));
    }
}
