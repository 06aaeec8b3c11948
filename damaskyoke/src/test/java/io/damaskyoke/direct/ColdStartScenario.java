package io.damaskyoke.direct;

import java.time.Duration;
import java.util.Random;

/** Plays half a minute of random zone outages and restarts, drawn from the world's seed. */
final class ColdStartScenario {
    private static final int ZONES = 3;
    private static final int ROUNDS = 3;

    /** A crashed upstream is down for at least a second. */
    private static final int SHORTEST_MILLIS = 1_000;

    private final ColdStartSimulation simulation;
    private final Random random;

    ColdStartScenario(ColdStartSimulation simulation) {
        this.simulation = simulation;
        this.random = simulation.random;
    }

    void play(double usual) {
        simulation.advance(Duration.ofSeconds(1));
        simulation.demand(usual);
        simulation.advance(Duration.ofSeconds(2));
        for (int each = 0; each < ROUNDS; each++) {
            round(usual);
        }
    }

    private void round(double usual) {
        // Demand grows up to twofold, as on a busy day; it queues while two of three zones are
        // down.
        simulation.demand(usual * (1 + random.nextDouble()));
        int zone = random.nextInt(ZONES);
        Duration length = millis(SHORTEST_MILLIS, random.nextBoolean() ? 1_800 : 5_000);
        simulation.failZone(zone, length, random.nextBoolean());
        if (random.nextInt(3) > 0) {
            Duration later = millis(0, (int) length.toMillis());
            simulation.time.after(
                    later,
                    () -> simulation.failZone((zone + 1) % ZONES, length, random.nextBoolean()));
        }
        if (random.nextInt(4) == 0) {
            simulation.time.after(
                    later(length),
                    () ->
                            simulation.failZone(
                                    (zone + 2) % ZONES, millis(SHORTEST_MILLIS, 1_600), false));
        }
        disturbRouters(length);
        simulation.advance(length.plusMillis(500));
        simulation.demand(usual);
        simulation.advance(Duration.ofSeconds(5));
    }

    private void disturbRouters(Duration length) {
        for (ColdStartRouter router : simulation.routers()) {
            if (random.nextInt(8) == 0) {
                simulation.time.after(later(length), () -> router.cutOff(millis(500, 6_000)));
            }
        }
        int share = random.nextInt(4);
        if (share == 0) {
            Duration at = later(length);
            simulation.time.after(at, () -> simulation.routers().forEach(ColdStartRouter::restart));
        } else if (share == 1) {
            Duration at = later(length);
            simulation.time.after(
                    at,
                    () ->
                            simulation.routers().stream()
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
