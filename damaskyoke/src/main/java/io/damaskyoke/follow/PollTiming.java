package io.damaskyoke.follow;

import java.time.Duration;
import java.util.Objects;

/**
 * How often the store is polled: {@code new PollTiming(Duration.ofSeconds(1),
 * Duration.ofMillis(200))}.
 *
 * @param patience how long a call may wait at the store for a change
 * @param gap the least time from one call to the next, so that successive changes arrive together
 */
public record PollTiming(Duration patience, Duration gap) {
    /** The allowed transit time of an answer; the platform's store takes milliseconds. */
    static final Duration ANSWER = Duration.ofMillis(400);

    /** The longest wait at a relay: a relay that fails silently is noticed only after it. */
    private static final Duration LONGEST_AT_RELAY = Duration.ofMillis(1_200);

    /** A relay's own calls are a gap apart; this only prevents polling it in a tight loop. */
    private static final Duration RELAY_GAP = Duration.ofMillis(20);

    /** Validates that neither duration is negative. */
    public PollTiming {
        Objects.requireNonNull(patience, "a pace needs a patience");
        Objects.requireNonNull(gap, "a pace needs a gap");
        if (patience.isNegative() || gap.isNegative()) {
            throw new IllegalArgumentException(
                    "patience and gap of a pace must not be negative: " + patience + ", " + gap);
        }
    }

    /**
     * Returns this pace adapted to a relay, which holds each call until there is a change and costs
     * the store nothing.
     */
    public PollTiming atRelay() {
        boolean longer = patience.compareTo(LONGEST_AT_RELAY) > 0;
        return new PollTiming(longer ? LONGEST_AT_RELAY : patience, RELAY_GAP);
    }

    /**
     * Returns the longest time from the acknowledgement of a change until it is known here, while
     * the store answers. It allows for a call that is never answered because it was under way when
     * the store became available again.
     */
    public Duration stalenessBound() {
        Duration unanswered = patience.plus(ANSWER);
        return unanswered.compareTo(gap) > 0 ? unanswered : gap;
    }
}
