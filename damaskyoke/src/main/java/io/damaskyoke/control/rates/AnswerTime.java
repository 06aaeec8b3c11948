package io.damaskyoke.control.rates;

import java.time.Duration;

/**
 * How long other routers take to answer an ask for tokens, and so how long to wait for the next:
 * {@code time.heardAfter(took); wait(time.patience())}.
 *
 * <p>The pattern: routers on a tenth of a core answer after tens of milliseconds, others after two.
 * Given up too early, an ask is followed by asks of all others, and the tokens that come after all
 * are lost to everybody until the loan ends; kept too long, a router that died holds its askers up.
 */
final class AnswerTime {
    /** Routers with room to spare answer in a few milliseconds. */
    private static final Duration SHORTEST = Duration.ofMillis(40);

    /** About the whole objective of the most urgent callers. */
    private static final Duration LONGEST = Duration.ofMillis(250);

    /** Answers vary; one in some dozens takes longer than so many times the usual. */
    private static final double FACTOR = 4;

    private static final double NEWEST = 0.15;

    private static final double NANOS_PER_MILLI = 1e6;

    private double usualMillis;

    /** An answer has come. */
    void heardAfter(Duration took) {
        usualMillis += NEWEST * (took.toNanos() / NANOS_PER_MILLI - usualMillis);
    }

    /** No answer came within the {@link #patience()}: it may only be slow. */
    void unheard() {
        heardAfter(patience());
    }

    /** How long to wait for an answer. */
    Duration patience() {
        Duration wait = Duration.ofNanos((long) (usualMillis * FACTOR * NANOS_PER_MILLI));
        if (wait.compareTo(SHORTEST) < 0) {
            return SHORTEST;
        }
        return wait.compareTo(LONGEST) < 0 ? wait : LONGEST;
    }
}
