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
    /** How long an answer may be on its way; the platform's store takes milliseconds. */
    static final Duration ANSWER = Duration.ofMillis(400);

    /** A relay that says nothing is noticed only when its wait is over. */
    private static final Duration LONGEST_AT_RELAY = Duration.ofMillis(1_200);

    /** A relay's own calls are a gap apart; this only keeps it from being asked in a loop. */
    private static final Duration RELAY_GAP = Duration.ofMillis(20);

    /** Refuses what is negative. */
    public Pace {
        Objects.requireNonNull(patience, "a pace needs a patience");
        Objects.requireNonNull(gap, "a pace needs a gap");
        if (patience.isNegative() || gap.isNegative()) {
            throw new IllegalArgumentException("patience and gap of a pace can't be negative");
        }
    }

    /**
     * The same where a relay is asked, which holds each call until there is something and at no
     * price.
     */
    public Pace atRelay() {
        boolean longer = patience.compareTo(LONGEST_AT_RELAY) > 0;
        return new Pace(longer ? LONGEST_AT_RELAY : patience, RELAY_GAP);
    }

    /**
     * How long after an acknowledgement a change is known at the latest, while the store answers:
     * the call that was under way when it came back may be one that nobody answers.
     */
    public Duration bound() {
        Duration unanswered = patience.plus(ANSWER);
        return unanswered.compareTo(gap) > 0 ? unanswered : gap;
    }
}
