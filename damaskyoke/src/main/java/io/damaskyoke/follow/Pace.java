package io.damaskyoke.follow;

import java.time.Duration;
import java.util.Objects;

/**
 * How often the store is asked: {@code new Pace(Duration.ofSeconds(1), Duration.ofMillis(200))}.
 *
 * @param patience how long a call may wait for a change
 * @param gap the least time from one call to the next, so that changes in a row are told together
 */
public record Pace(Duration patience, Duration gap) {
    /** Refuses what is negative. */
    public Pace {
        Objects.requireNonNull(patience, "a pace needs a patience");
        Objects.requireNonNull(gap, "a pace needs a gap");
        if (patience.isNegative() || gap.isNegative()) {
            throw new IllegalArgumentException("patience and gap of a pace can't be negative");
        }
    }
}
