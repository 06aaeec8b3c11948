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
    private static final double USUAL = 60;

    /** Requests a second: more than two zones of three can serve while they are cold. */
    private static final double HEAVY = 110;

    private static final Duration CALM = Duration.ofSeconds(30);

    // Guards against a burst on a zone that is back and cold, from the requests that were queued
    // for it at all routers.
    @ParameterizedTest
    @CsvSource({"4", "22", "300"})
    void aZoneThatIsBackAtOnceGetsNoMoreThanItBears(int routers) {
        List<String> broken = new ArrayList<>();
        for (long seed = FIRST; seed < FIRST + seeds(routers); seed++) {
            ColdStartSimulation world =
                    played(routers, seed, USUAL, ColdStartSimulation.Rules.usual());
            if (world.exceeded() > 0) {
                broken.add("seed " + seed + ": " + world.exceeded());
            }
        }
        assertEquals(List.of(), broken);
    }

    // Guards against a simulation that detects nothing: without shares, upstreams are overloaded.
    @ParameterizedTest
    @CsvSource({"4", "22", "300"})
    void withoutSharesUpstreamsEnd(int routers) {
        ColdStartSimulation.Rules rules =
                new ColdStartSimulation.Rules(
                        false,
                        true,
                        ColdStartSimulation.USUAL_NEWS,
                        ColdStartSimulation.USUAL_WORD);
        assertTrue(exceeded(routers, rules) > 0);
    }

    // Guards against relying on the list alone, which reports a restart late.
    @Test
    void withoutDoubtOfWhatWasLostUpstreamsGetTooMuch() {
        ColdStartSimulation.Rules rules =
                new ColdStartSimulation.Rules(
                        true,
                        false,
                        ColdStartSimulation.USUAL_NEWS,
                        ColdStartSimulation.USUAL_WORD);
        assertTrue(exceeded(22, rules) > 0);
    }

    // Guards against a list that lags for longer than is assumed.
    @Test
    void withALaterListUpstreamsGetTooMuch() {
        ColdStartSimulation.Rules rules =
                new ColdStartSimulation.Rules(
                        true, true, Duration.ofSeconds(9), ColdStartSimulation.USUAL_WORD);
        assertTrue(exceeded(22, rules) > 0);
    }

    // Guards against a simulation that does not need announcements: in a large fleet most routers
    // have not used an upstream when it is lost, and depend on the others to announce the loss.
    @Test
    void withoutTheWordOfOtherRoutersUpstreamsGetTooMuch() {
        ColdStartSimulation.Rules rules =
                new ColdStartSimulation.Rules(
                        true, true, ColdStartSimulation.USUAL_NEWS, Duration.ofSeconds(9));
        assertTrue(exceeded(300, rules) > 0);
    }

    // Guards against holding back requests where nothing is cold.
    @ParameterizedTest
    @CsvSource({"4", "22", "300"})
    void onACalmDayNothingWaits(int routers) {
        ColdStartSimulation world =
                new ColdStartSimulation(routers, FIRST, ColdStartSimulation.Rules.usual());
        world.advance(Duration.ofSeconds(1));
        world.demand(USUAL);
        world.advance(CALM);
        assertTrue(
                world.queuedRequests() * 1_000 < world.requests(),
                world.queuedRequests() + " of " + world.requests() + " waited");
        assertEquals(0, world.refusedRequests());
    }

    private static int exceeded(int routers, ColdStartSimulation.Rules rules) {
        int sum = 0;
        for (long seed = FIRST; seed < FIRST + seeds(routers); seed++) {
            sum += played(routers, seed, HEAVY, rules).exceeded();
        }
        return sum;
    }

    // Simulating hundreds of routers takes as long as a dozen small fleets.
    private static int seeds(int routers) {
        return routers > 100 ? Math.max(1, SEEDS / 12) : SEEDS;
    }

    private static ColdStartSimulation played(
            int routers, long seed, double perSecond, ColdStartSimulation.Rules rules) {
        ColdStartSimulation world = new ColdStartSimulation(routers, seed, rules);
        new ColdStartScenario(world).play(perSecond);
        return world;
    }
}
