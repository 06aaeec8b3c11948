package io.damaskyoke.direct;

import java.time.Duration;
import java.util.Random;

/** Plays half a minute of random zone outages and restarts, drawn from the world's seed. */
final class ColdStartScenario {
    private static final int ZONES = 3;
    private static final int ROUNDS = 3;

    /** A crashed upstream is down for at least a second. */
    private static final int SHORTEST_MILLIS = 1_000;

    private final ColdStartSimulation world;
    private final Random random;

    ColdStartScenario(ColdStartSimulation world) {
        this.world = world;
        this.random = world.random;
    }

    void play(double usual) {
        world.advance(Duration.ofSeconds(1));
        world.demand(usual);
        world.advance(Duration.ofSeconds(2));
        for (int each = 0; each < ROUNDS; each++) {
            round(usual);
        }
    }

    private void round(double usual) {
        // Demand grows up to twofold, as on a busy day; it queues while two of three zones are
        // down.
        world.demand(usual * (1 + random.nextDouble()));
        int zone = random.nextInt(ZONES);
        Duration length = millis(SHORTEST_MILLIS, random.nextBoolean() ? 1_800 : 5_000);
        world.failZone(zone, length, random.nextBoolean());
        if (random.nextInt(3) > 0) {
            Duration later = millis(0, (int) length.toMillis());
            world.time.after(
                    later, () -> world.failZone((zone + 1) % ZONES, length, random.nextBoolean()));
        }
        if (random.nextInt(4) == 0) {
            world.time.after(
                    later(length),
                    () ->
                            world.failZone(
                                    (zone + 2) % ZONES, millis(SHORTEST_MILLIS, 1_600), false));
        }
        routers(length);
        world.advance(length.plusMillis(500));
        world.demand(usual);
        world.advance(Duration.ofSeconds(5));
    }

    private void routers(Duration length) {
        for (ColdStartRouter router : world.routers()) {
            if (random.nextInt(8) == 0) {
                world.time.after(later(length), () -> router.cutOff(millis(500, 6_000)));
            }
        }
        int share = random.nextInt(4);
        if (share == 0) {
            Duration at = later(length);
            world.time.after(at, () -> world.routers().forEach(ColdStartRouter::restart));
        } else if (share == 1) {
            Duration at = later(length);
            world.time.after(
                    at,
                    () ->
                            world.routers().stream()
                                    .filter(any -> random.nextBoolean())
                                    .forEach(ColdStartRouter::restart));
        }
    }

    private Duration later(Duration length) {
        return length.plusMillis(random.nextInt(1_500) - 700).abs();
    }

    private Duration millis(int from, int to) {
        return Duration.ofMillis(from + random.nextInt(Math.max(1, to - from)));
    }
}
