package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the request rate that upstreams with a declared limit get from all routers together. */
class DeclaredLimitsTest {
    /** Other seeds can be run with {@code -Dlimit.first=1000 -Dlimit.count=10000}. */
    private static final long FIRST = Long.getLong("limit.first", 1);

    private static final int SEEDS = Integer.getInteger("limit.count", 40);
    private static final double DEMAND = 120;
    private static final double[] LIMITS = {0, 0.3, 1.6, 2.1, 7, 45};
    private static final Duration TIME_TO_KNOW = Duration.ofSeconds(3);

    /** The part of its limit to which an upstream must be used while requests are queued. */
    private static final double MIN_USE = 0.8;

    // Guards against routers that each use the whole limit, or that know only limits they received.
    @ParameterizedTest
    @CsvSource({"4", "22", "300"})
    void aLimitedUpstreamGetsNoMoreThanItsLimitFromRoutersThatKnowIt(int routers) {
        List<String> violations = new ArrayList<>();
        for (long seed = FIRST; seed < FIRST + seeds(routers); seed++) {
            LimitSimulation simulation = played(routers, seed, LimitSimulation.Rules.defaults());
            if (simulation.violations() > 0) {
                violations.add("seed " + seed + ": " + simulation);
            }
        }
        assertEquals(List.of(), violations);
    }

    // Guards against a simulation that detects nothing: without shares, limits are exceeded.
    @ParameterizedTest
    @CsvSource({"22", "300"})
    void withoutSharesUpstreamsGetTooMuch(int routers) {
        int violations = 0;
        for (long seed = 1; seed <= 2; seed++) {
            violations += played(routers, seed, new LimitSimulation.Rules(false, 0.1)).violations();
        }
        assertTrue(violations > 0);
    }

    // Guards against an upstream that is left idle below its limit while requests are queued.
    @ParameterizedTest
    @CsvSource({"4, 0.3", "4, 1.6", "22, 2.1", "22, 10", "300, 1.6", "300, 45"})
    void whatALimitAllowsIsUsedWhileRequestsWait(int routers, double limit) {
        LimitSimulation simulation =
                new LimitSimulation(routers, 1, LimitSimulation.Rules.defaults());
        simulation.engines().forEach(engine -> engine.declareLimit(limit));
        simulation.demand(DEMAND * 3);
        simulation.advance(TIME_TO_KNOW);
        Duration time = Duration.ofSeconds(40);
        simulation.advance(time);
        for (LimitSimulation.SimulatedUpstream engine : simulation.engines()) {
            double used = engine.requestsWhileLimited() / (limit * time.toSeconds());
            assertTrue(used >= MIN_USE, engine.id() + " is used to " + used);
        }
    }

    private static int seeds(int routers) {
        return routers >= 100 ? Math.max(1, SEEDS / 20) : SEEDS;
    }

    private static LimitSimulation played(int routers, long seed, LimitSimulation.Rules rules) {
        LimitSimulation simulation = new LimitSimulation(routers, seed, rules);
        simulation.demand(DEMAND);
        simulation.advance(Duration.ofSeconds(2));
        for (int round = 0; round < 3; round++) {
            LimitSimulation.SimulatedUpstream one = simulation.engines().get(0);
            LimitSimulation.SimulatedUpstream two = simulation.engines().get(1);
            one.declareLimit(LIMITS[simulation.random.nextInt(LIMITS.length)]);
            simulation.advance(Duration.ofMillis(simulation.random.nextInt(3_000)));
            two.declareLimit(LIMITS[simulation.random.nextInt(LIMITS.length)]);
            restartSomeRouters(simulation);
            simulation.advance(Duration.ofSeconds(9));
            one.withdrawLimit();
            simulation.advance(Duration.ofSeconds(2));
            two.withdrawLimit();
            simulation.advance(Duration.ofSeconds(4));
        }
        return simulation;
    }

    private static void restartSomeRouters(LimitSimulation simulation) {
        for (LimitSimulationRouter router : simulation.routers()) {
            if (simulation.random.nextInt(6) == 0) {
                Duration later = Duration.ofMillis(simulation.random.nextInt(6_000));
                simulation.time.after(later, router::restart);
            }
        }
    }
}
