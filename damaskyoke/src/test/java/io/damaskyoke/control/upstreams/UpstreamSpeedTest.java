package io.damaskyoke.control.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.cold.UpstreamShare;
import io.damaskyoke.http.Endpoint;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UpstreamSpeedTest {
    private static final int ROUTERS = 27;
    private static final int SECONDS = 20;
    private static final double MOST_PER_SPEED = 1.5;
    private static final int SLOTS = 32;
    private static final TokenUsage TOKENS = new TokenUsage(700, 300);

    private final UpstreamTable table = new UpstreamTable();
    private Instant now = Instant.ofEpochSecond(100);

    // Guards against upstreams that hold far more than others for as long as the load lasts, and
    // against routers that all send to the upstream which looked best in the same old reports.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void noUpstreamHoldsMuchMoreThanItsSpeedAllows(long seed) {
        FluctuatingFleet fleet = new FluctuatingFleet(seed, ROUTERS, ROUTERS, true);
        double twoDrawn = fleet.run(SECONDS);
        double leastOfAll = new FluctuatingFleet(seed, ROUTERS, 1, true).run(SECONDS);
        double withoutSpeed = new FluctuatingFleet(seed, ROUTERS, ROUTERS, false).run(SECONDS);
        String seen = "two %s, all %s, no figure %s".formatted(twoDrawn, leastOfAll, withoutSpeed);
        assertEquals(0, fleet.unsent());
        assertTrue(fleet.busiestOverRun() <= MOST_PER_SPEED, "over run " + fleet.busiestOverRun());
        assertTrue(twoDrawn < leastOfAll && twoDrawn < withoutSpeed, seen);
    }

    // Guards against an upstream that is overloaded for a moment while others have room.
    @Test
    void theBusiestUpstreamOfEachMomentHoldsLittleMoreThanItsSpeedAllows() {
        double busiest = new FluctuatingFleet(1, ROUTERS, ROUTERS, true).run(SECONDS);
        assertTrue(busiest <= MOST_PER_SPEED, "busiest of each moment " + busiest);
    }

    // Guards against a choice by the usual speed alone while an upstream reports a slowdown.
    @Test
    void anUpstreamThatIsSlowNowGetsFewerRequests() {
        answered("usual", 40, 100);
        answered("slow", 30, 100);
        assertEquals("slow", pick(TokenUsage.UNKNOWN));
        reported("slow", 250);
        assertEquals("usual", pick(TokenUsage.UNKNOWN));
    }

    // Guards against a wrong choice for as long as an upstream stays silent about its speed.
    @Test
    void aRelativeTimeWithoutANewOneCountsForNothingAfterAWhile() {
        answered("usual", 40, 100);
        answered("slow", 30, 100);
        reported("slow", 250);
        now = now.plusMillis(300);
        assertEquals(2.5, find("slow").timeFactor(now));
        now = now.plusMillis(450);
        assertEquals(1.75, find("slow").timeFactor(now), 0.001);
        now = now.plusMillis(450);
        assertEquals(1, find("slow").timeFactor(now));
        assertEquals("slow", pick(TokenUsage.UNKNOWN));
    }

    // Guards against answer times that no longer count once an upstream stops reporting its speed.
    @Test
    void answersWithoutARelativeTimeStillCountInTheAverage() {
        answered("one", 30, 100);
        now = now.plusSeconds(2);
        find("one").requestAnswered(Duration.ofMillis(130), now);
        assertEquals(42, find("one").averageMillis(), 0.001);
    }

    // Guards against a false figure that keeps all requests from an upstream, or draws them there.
    @Test
    void aFalseRelativeTimeShiftsTheChoiceByAFactorOfFourAtMost() {
        reported("one", 100_000);
        assertEquals(4, find("one").timeFactor(now));
        reported("one", 1);
        assertEquals(0.25, find("one").timeFactor(now));
    }

    // Guards against an upstream that always reports the same wrong figure.
    @Test
    void anUnchangingRelativeTimeCancelsOut() {
        answered("stuck", 30, 250);
        answered("usual", 40, 100);
        assertEquals("stuck", pick(TokenUsage.UNKNOWN));
        assertEquals(30, find("stuck").averageMillis() * find("stuck").timeFactor(now), 0.001);
    }

    // Guards against using what an earlier process under the same name has reported.
    @Test
    void anotherIncarnationStartsWithoutARelativeTime() {
        reported("one", 250);
        table.put(facts("one", 2), now);
        assertEquals(1, find("one").timeFactor(now));
    }

    // Guards against a preempted request where another engine has memory left.
    @Test
    void anUpstreamWithoutRoomForTheTokensComesLast() {
        table.setTokenMemory(Map.of("service", 4_500L));
        answered("fast", 10, 100);
        answered("other", 40, 100);
        for (int each = 0; each < 2; each++) {
            find("fast").requestAssigned(null, TOKENS, now);
        }
        assertEquals("fast", pick(TOKENS));
        find("fast").loadReported(new LoadReport(4, 0), now);
        assertEquals("other", pick(TOKENS));
        find("other").requestRejected(now, Duration.ofSeconds(1));
        assertEquals("fast", pick(TOKENS));
        find("fast").requestFinished(null, TOKENS);
        assertEquals(1, find("fast").inFlight());
    }

    // Guards against routers that together hold more requests at an upstream than it can queue.
    @Test
    void oneRouterSendsNoMoreThanItsShareOfFourTimesTheSlots() {
        answered("one", 10, 100);
        UpstreamShare share = sharedBy(100);
        for (int each = 0; each < 2; each++) {
            assertEquals("one", pick(share, TokenUsage.UNKNOWN));
            find("one").requestAssigned(null, now);
        }
        assertEquals("nobody", pick(share, TokenUsage.UNKNOWN));
    }

    // Guards against a share that rounds down to zero, so that a router can send nothing.
    @Test
    void inAFleetOfMoreRoutersThanSlotsEachMaySendOne() {
        answered("one", 10, 100);
        assertEquals("one", pick(sharedBy(1_000), TokenUsage.UNKNOWN));
        find("one").requestAssigned(null, now);
        assertEquals("nobody", pick(sharedBy(1_000), TokenUsage.UNKNOWN));
    }

    // Guards against requests to a drained zone because two of its upstreams were drawn.
    @Test
    void anUpstreamInADrainedZoneIsNotDrawn() {
        for (String id : new String[] {"a1", "a2", "a3", "b1"}) {
            answered(id, 10, 100);
        }
        table.put(facts("b1", "b", 1), now);
        table.zones().drain("a", now);
        for (int each = 0; each < 20; each++) {
            assertEquals("b1", pick(sharedBy(ROUTERS), TokenUsage.UNKNOWN));
        }
    }

    private String pick(TokenUsage tokens) {
        return pick(sharedBy(1), tokens);
    }

    private String pick(UpstreamShare share, TokenUsage tokens) {
        return new UpstreamSelector("a", 1.0, share, new Random(1))
                .pick(table.ofService("service"), null, tokens, Set.of(), now)
                .map(upstream -> upstream.facts().id().value())
                .orElse("nobody");
    }

    private static UpstreamShare sharedBy(int routers) {
        return new UpstreamShare() {
            @Override
            public int of(UpstreamId upstream, double all) {
                return (int) Math.ceil(all / routers);
            }

            @Override
            public int routers() {
                return routers;
            }
        };
    }

    private void answered(String id, int millis, int percent) {
        table.put(facts(id, 1), now);
        reported(id, percent);
        find(id).requestAnswered(Duration.ofMillis(millis), now);
    }

    private void reported(String id, int percent) {
        table.put(facts(id, 1), now);
        OptionalInt none = OptionalInt.empty();
        find(id).loadReported(new LoadReport(none, none, none, OptionalInt.of(percent)), now);
    }

    private Upstream find(String id) {
        return table.find(UpstreamId.of(id)).orElseThrow();
    }

    private static UpstreamFacts facts(String id, long startedAt) {
        return facts(id, "a", startedAt);
    }

    private static UpstreamFacts facts(String id, String zone, long startedAt) {
        return new UpstreamFacts(
                UpstreamId.of(id),
                1,
                "service",
                new Endpoint("10.0.0.1", 80),
                zone,
                SLOTS,
                false,
                Duration.ZERO,
                new HeldModels(startedAt, HeldModels.UNKNOWN_SEQUENCE, Map.of()),
                Set.of(),
                Set.of());
    }
}
