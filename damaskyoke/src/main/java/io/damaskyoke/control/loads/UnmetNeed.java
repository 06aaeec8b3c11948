package io.damaskyoke.control.loads;

import java.time.Duration;

/**
 * Models and adapters that requests wait for and that no engine holds.
 *
 * @param models how many
 * @param oldest how long the first of their requests has waited
 */
public record UnmetNeed(int models, Duration oldest) {
    /** Nothing is waited for. */
    public static final UnmetNeed NONE = new UnmetNeed(0, Duration.ZERO);
}
