package io.damaskyoke.control.loads;

import java.time.Duration;

/**
 * Models and adapters that requests wait for and that no engine holds.
 *
 * @param models number of these models and adapters
 * @param oldest how long the first of their requests has waited
 */
public record UnmetNeed(int models, Duration oldest) {
    /** No request waits for a model that no engine holds. */
    public static final UnmetNeed NONE = new UnmetNeed(0, Duration.ZERO);
}
