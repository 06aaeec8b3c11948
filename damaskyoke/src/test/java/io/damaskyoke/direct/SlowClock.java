package io.damaskyoke.direct;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Random;

/**
 * A clock for tests that advances by a random time with each reading, as if the code between two
 * readings took that long, and never falls behind another clock.
 */
final class SlowClock implements InstantSource {
    private static final int LONGEST_STEP_MILLIS = 20;

    private final InstantSource clock;
    private final Random random;
    private Instant last = Instant.MIN;

    SlowClock(InstantSource clock, long seed) {
        this.clock = clock;
        this.random = new Random(seed);
    }

    @Override
    public Instant instant() {
        Instant now = clock.instant();
        Instant from = now.isAfter(last) ? now : last;
        last = from.plus(Duration.ofMillis(random.nextInt(LONGEST_STEP_MILLIS)));
        return last;
    }
}
