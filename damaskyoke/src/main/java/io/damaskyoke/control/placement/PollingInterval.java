package io.damaskyoke.control.placement;

import java.time.Duration;
import java.util.Random;

/**
 * Computes how long a process waits between two reads of the placement table, so that all processes
 * together stay below a limit: {@code interval.next(2_780)}.
 */
public final class PollingInterval {
    /** Reads per second of all processes together; the store serves 2,000. */
    public static final int MAX_READS_PER_SECOND = 700;

    /** The interval between reads in a small fleet. */
    public static final Duration SHORTEST = Duration.ofSeconds(1);

    /**
     * The longest interval, kept even if the limit is then exceeded. A grant marked as suspected
     * may be revoked after 15 s; an agent that is not gone has to find the mark and clear it before
     * that, or its model is loaded elsewhere too. This interval leaves it three reads.
     */
    public static final Duration LONGEST = Duration.ofSeconds(4);

    private static final double JITTER_FRACTION = 0.1;

    private final Random random;

    /**
     * Creates an interval whose jitter keeps processes that started together from reading together.
     */
    public PollingInterval(Random random) {
        this.random = random;
    }

    /**
     * Returns the wait until the next read.
     *
     * @param processes the number of routers and agents in the deployment
     */
    public Duration next(int processes) {
        long fairMillis = 1_000L * processes / MAX_READS_PER_SECOND;
        long millis = Math.min(LONGEST.toMillis(), Math.max(SHORTEST.toMillis(), fairMillis));
        return Duration.ofMillis(
                (long) (millis * (1 + JITTER_FRACTION * (2 * random.nextDouble() - 1))));
    }
}
