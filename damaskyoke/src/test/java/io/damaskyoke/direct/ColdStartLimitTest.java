package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the request rate that cold upstreams get from all routers together. */
class ColdStartLimitTest {
    /** Other seeds can be run with {@code -Dcold.first=1000 -Dcold.count=10000}. */
    private static final long FIRST = Long.getLong("cold.first", 1);

    private static final int SEEDS = Integer.getInteger("cold.count", 60);

    /**
     * Requests a second: a fifth of the limit of all upstreams when cold. When others are lost, the
     * rest get up to their limit.
     */
    private static final double DEFAULT_RATE = 60;

    /** Requests a second: more than two zones of three can serve while they are cold. */
    private static final double HEAVY_RATE = 110;

    private static final Duration CALM = Duration.ofSeconds(30);

    // Guards against a burst on a zone that is back and cold, from the requests that were queued
    // for it at all routers.
    @ParameterizedTest
    @CsvSource({"4", "22", "300"})
    void aReturningColdZoneGetsNoMoreThanItsLimit(int routers) {
        List<String> violations = new ArrayList<>();
        for (long seed = FIRST; seed < FIRST + seeds(routers); seed++) {
            ColdStartSimulation simulation =
                    played(routers, seed, DEFAULT_RATE, ColdStartSimulation.Rules.defaults());
            if (simulation.exceeded() > 0) {
                violations.add("seed " + seed + ": " + simulation.exceeded());
            }
        }
        assertEquals(List.of(), violations);
    }

    // Guards against a simulation that detects nothing: without shares, upstreams are overloaded.
    @ParameterizedTest
    @CsvSource({"4", "22", "300"})
    void withoutSharesUpstreamsAreOverloaded(int routers) {
        ColdStartSimulation.Rules rules =
                new ColdStartSimulation.Rules(
                        false,
                        true,
                        ColdStartSimulation.MAX_LIST_DELAY,
                        ColdStartSimulation.MAX_LOSS_DELAY);
        assertTrue(exceeded(routers, rules) > 0);
    }

    // Guards against relying on the list alone, which reports a restart late.
    @Test
    void withoutTreatingLostUpstreamsAsColdTheyGetTooMuch() {
        ColdStartSimulation.Rules rules =
                new ColdStartSimulation.Rules(
                        true,
                        false,
                        ColdStartSimulation.MAX_LIST_DELAY,
                        ColdStartSimulation.MAX_LOSS_DELAY);
        assertTrue(exceeded(22, rules) > 0);
    }

    // Guards against a list that lags for longer than is assumed.
    @Test
    void withALaterListUpstreamsGetTooMuch() {
        ColdStartSimulation.Rules rules =
                new ColdStartSimulation.Rules(
                        true, true, Duration.ofSeconds(9), ColdStartSimulation.MAX_LOSS_DELAY);
        assertTrue(exceeded(22, rules) > 0);
    }

    // Guards against a simulation that does not need announcements: in a large fleet most routers
    // have not used an upstream when it is lost, and depend on the others to announce the loss.
    @Test
    void withoutAnnouncementsOfOtherRoutersUpstreamsGetTooMuch() {
        ColdStartSimulation.Rules rules =
                new ColdStartSimulation.Rules(
                        true, true, ColdStartSimulation.MAX_LIST_DELAY, Duration.ofSeconds(9));
        assertTrue(exceeded(300, rules) > 0);
    }

    // Guards against holding back requests where nothing is cold.
    @ParameterizedTest
    @CsvSource({"4", "22", "300"})
    void withoutFaultsNothingIsQueued(int routers) {
        ColdStartSimulation simulation =
                new ColdStartSimulation(routers, FIRST, ColdStartSimulation.Rules.defaults());
        simulation.advance(Duration.ofSeconds(1));
        simulation.demand(DEFAULT_RATE);
        simulation.advance(CALM);
        assertTrue(
                simulation.queuedRequests() * 1_000 < simulation.requests(),
                simulation.queuedRequests() + " of " + simulation.requests() + " waited");
        assertEquals(0, simulation.refusedRequests());
    }

    private static int exceeded(int routers, ColdStartSimulation.Rules rules) {
        int sum = 0;
        for (long seed = FIRST; seed < FIRST + seeds(routers); seed++) {
            sum += played(routers, seed, HEAVY_RATE, rules).exceeded();
        }
        return sum;
    }

    // Simulating hundreds of routers takes as long as a dozen small fleets.
    private static int seeds(int routers) {
        return routers > 100 ? Math.max(1, SEEDS / 12) : SEEDS;
    }

    private static ColdStartSimulation played(
            int routers, long seed, double perSecond, ColdStartSimulation.Rules rules) {
        ColdStartSimulation simulation = new ColdStartSimulation(routers, seed, rules);
        new ColdStartScenario(simulation).play(perSecond);
        return simulation;
    }
}
