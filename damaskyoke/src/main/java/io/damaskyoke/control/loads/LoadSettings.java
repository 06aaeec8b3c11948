package io.damaskyoke.control.loads;

import java.time.Duration;

/**
 * The limits that a planner keeps.
 *
 * @param ceilingWindow over which the weight store counts loads
 * @param orderLimit how long an order may go unanswered
 */
public record LoadSettings(Duration ceilingWindow, Duration orderLimit) {
    /** Limits that suit the deployments known so far. */
    public static LoadSettings usual() {
        return new LoadSettings(Duration.ofSeconds(5), Duration.ofSeconds(1));
    }
}
