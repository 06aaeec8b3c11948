package io.damaskyoke.follow;

import java.time.Duration;
import java.util.Objects;

/**
 * How often the store is polled: {@code new PollTiming(Duration.ofSeconds(1),
 * Duration.ofMillis(200))}.
 *
 * @param maxWait how long a call may wait at the store for a change
 * @param minInterval the least time from one call to the next, so that successive changes arrive
 *     together
 */
public record PollTiming(Duration maxWait, Duration minInterval) {
    /** The allowed transit time of an answer; the platform's store takes milliseconds. */
    static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);

    /** The longest wait at a relay: a relay that fails silently is noticed only after it. */
    private static final Duration MAX_RELAY_WAIT = Duration.ofMillis(1_200);

    /**
     * A relay's own calls are {@code minInterval} apart; this only prevents polling it in a tight
     * loop.
     */
    private static final Duration MIN_RELAY_INTERVAL = Duration.ofMillis(20);

    /** Validates that neither duration is negative. */
    public PollTiming {
        Objects.requireNonNull(maxWait, "poll timing needs a longest wait");
        Objects.requireNonNull(minInterval, "poll timing needs a least interval");
        if (maxWait.isNegative() || minInterval.isNegative()) {
            throw new IllegalArgumentException(
                    "wait and interval of poll timing must not be negative: "
                            + maxWait
                            + ", "
                            + minInterval);
        }
    }

    /**
     * Returns this timing adapted to a relay, which holds each call until there is a change and
     * costs the store nothing.
     */
    public PollTiming atRelay() {
        boolean longer = maxWait.compareTo(MAX_RELAY_WAIT) > 0;
        return new PollTiming(longer ? MAX_RELAY_WAIT : maxWait, MIN_RELAY_INTERVAL);
    }

    /**
     * Returns the longest time from the acknowledgement of a change until it is known here, while
     * the store answers. It allows for a call that is never answered because it was under way when
     * the store became available again.
     */
    public Duration stalenessBound() {
        Duration unanswered = maxWait.plus(ANSWER_TIMEOUT);
        return unanswered.compareTo(minInterval) > 0 ? unanswered : minInterval;
    }
}
