package io.damaskyoke.direct.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests for both errors in fleets of several sizes: an innocent request that is quarantined, and a
 * poison request that is not.
 */
class PoisonRequestDetectorTest {
    private static final long SEEDS = Long.getLong("crashes.count", 4);
    private static final int ALLOWED = 3;

    // Guards against refusing an innocent request because upstreams crashed while it ran.
    @ParameterizedTest
    @CsvSource({"4, 13, 60, 0.5", "33, 42, 150, 1.5", "300, 200, 400, 4"})
    void noInnocentRequestIsQuarantinedWhileUpstreamsCrashForOtherReasons(
            int routers, int workers, double perSecond, double crashesPerSecond) {
        int crashes = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(seed, routers, workers);
            simulation.advance(Duration.ofSeconds(60), perSecond, crashesPerSecond, 0);
            assertEquals(0, simulation.innocentsRefused(), "seed " + seed);
            crashes += simulation.crashes();
        }
        assertTrue(crashes > 20 * SEEDS, crashes + " ends");
    }

    // Guards against routers that send a request that others know to crash upstreams.
    @ParameterizedTest
    @CsvSource({"4, 13, 60, 0.1", "33, 42, 150, 0.3", "300, 200, 400, 1"})
    void aPoisonRequestReachesFewUpstreamsOnceThreeHaveCrashed(
            int routers, int workers, double perSecond, double crashesPerSecond) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(seed, routers, workers);
            simulation.advance(Duration.ofSeconds(30), perSecond, crashesPerSecond, 1.2);
            assertTrue(simulation.lateSendsOfPoisonRequest() <= ALLOWED, "seed " + seed);
            assertTrue(simulation.poisonRequestsRefused() > 0, "seed " + seed);
        }
    }

    // Guards against a restart of all routers that loses the quarantine.
    @ParameterizedTest
    @CsvSource({"4, 13", "33, 42"})
    void whatIsQuarantinedIsKnownAfterAllRoutersHaveRestarted(int routers, int workers) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashSimulation simulation = new CrashSimulation(seed, routers, workers);
            simulation.advance(Duration.ofSeconds(15), 60, 0.1, 1.2);
            int before = simulation.lateSendsOfPoisonRequest();
            simulation.restartAllRouters();
            simulation.advance(Duration.ofSeconds(3), 60, 0.1, 0);
            simulation.advance(Duration.ofSeconds(20), 60, 0.1, 1.2);
            assertEquals(before, simulation.lateSendsOfPoisonRequest(), "seed " + seed);
        }
    }
}
