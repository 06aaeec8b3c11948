package io.damaskyoke.control.placement;

import java.time.Duration;
import java.util.Random;

/**
 * How long a process waits between two looks at the table, so that all together stay below a
 * budget: {@code pace.next(2_780)}.
 */
public final class ReadPace {
    /** Looks a second of all processes together, of the 2,000 reads that the store gives. */
    public static final int BUDGET = 700;

    /** Small fleets look this often. */
    public static final Duration SHORTEST = Duration.ofSeconds(1);

    /**
     * Nobody looks less often, also if the budget is then exceeded. A right that was marked
     * suspected may be taken after 15 s; an agent that isn't gone has to find the mark and clear it
     * before that, or its model is loaded elsewhere too. This leaves it three looks.
     */
    public static final Duration LONGEST = Duration.ofSeconds(4);

    private static final double JITTER = 0.1;

    private final Random random;

    /** A pace whose jitter keeps processes that started together from looking together. */
    public ReadPace(Random random) {
        this.random = random;
    }

    /** The wait until the next look in a deployment of so many routers and agents. */
    public Duration next(int processes) {
        long share = 1_000L * processes / BUDGET;
        long millis = Math.min(LONGEST.toMillis(), Math.max(SHORTEST.toMillis(), share));
        return Duration.ofMillis((long) (millis * (1 + JITTER * (2 * random.nextDouble() - 1))));
    }
}
