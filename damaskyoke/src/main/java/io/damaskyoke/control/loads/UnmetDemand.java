package io.damaskyoke.control.loads;

import java.time.Duration;

/**
 * Models and adapters that requests wait for and that no engine holds.
 *
 * @param models number of these models and adapters
 * @param longestWait how long the first of their requests has waited
 */
public record UnmetDemand(int models, Duration longestWait) {
    /** No request waits for a model that no engine holds. */
    public static final UnmetDemand NONE = new UnmetDemand(0, Duration.ZERO);
}
