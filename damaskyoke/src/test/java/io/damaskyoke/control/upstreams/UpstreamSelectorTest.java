package io.damaskyoke.control.upstreams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.http.Endpoint;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class UpstreamSelectorTest {
    private static final ModelRef CUT_SHEET = ModelRef.parse("cut-sheet");
    private static final ModelRef ADAPTED = ModelRef.parse("cut-sheet/a3");
    private static final int SLOTS = 4;

    private final UpstreamTable table = new UpstreamTable();
    private final UpstreamSelector selector =
            new UpstreamSelector("a", 1.0, (upstream, all) -> (int) all);
    private Instant now = Instant.ofEpochSecond(100);
    private long revision;

    @Test
    void anUpstreamInTheSameZoneIsPreferred() {
        put("far", "b", false, Map.of());
        put("near", "a", false, Map.of());
        assertEquals("near", pick(null));
    }

    @Test
    void onlyAnUpstreamThatHoldsTheModelIsPicked() {
        put("one", "a", false, Map.of("tide-note", Set.of()));
        put("two", "b", false, Map.of("cut-sheet", Set.of("a1")));
        assertEquals("two", pick(CUT_SHEET));
        assertEquals("nobody", pick(ADAPTED));
    }

    @Test
    void aFullUpstreamIsNotPicked() {
        put("one", "a", false, Map.of());
        put("two", "b", false, Map.of());
        for (int i = 0; i < SLOTS; i++) {
            find("one").requestAssigned(null, now);
        }
        assertEquals("two", pick(null));
    }

    @Test
    void aDrainingUpstreamIsNotPicked() {
        put("one", "a", false, Map.of());
        put("one", "a", true, Map.of());
        assertEquals("nobody", pick(null));
    }

    @Test
    void theReportedLoadOfOtherRoutersCountsAndFades() {
        put("one", "a", false, Map.of());
        find("one").loadReported(new LoadReport(SLOTS, 0), now);
        assertEquals("nobody", pick(null));
        now = now.plusMillis(900);
        assertEquals("one", pick(null));
    }

    @Test
    void anUpstreamIsEjectedAfterThreeFailuresAndProbedLater() {
        // Guards against an upstream that fails every request while its health check passes. After
        // three failures it is ejected, then probed by a single request; when that is answered, it
        // is back.
        put("one", "a", false, Map.of());
        for (int i = 0; i < 3; i++) {
            find("one").requestFailed(now, now);
        }
        assertTrue(find("one").isEjected(now));
        assertEquals("nobody", pick(null));
        now = now.plusMillis(800);
        assertEquals("one", pick(null));
        find("one").requestAssigned(null, now);
        assertEquals("nobody", pick(null));
        find("one").requestAnswered(Duration.ofMillis(5), now);
        assertFalse(find("one").isEjected(now));
        assertEquals("one", pick(null));
    }

    @Test
    void anUpstreamThatFailsSomeRequestsGetsFewer() {
        put("grey", "a", false, Map.of());
        put("sound", "b", false, Map.of());
        find("grey").requestFailed(now, now);
        find("grey").requestAnswered(Duration.ofMillis(1), now);
        find("sound").requestAnswered(Duration.ofMillis(20), now);
        assertEquals("sound", pick(null));
    }

    @Test
    void theLeadersAnnouncementOverridesAnOlderEntry() {
        // Guards against requests for a model that the leader has just unloaded, but that the
        // upstream's entry, which lags by a second or two, still names.
        put("one", "a", false, Map.of("cut-sheet", Set.of()));
        find("one").leaderAnnounced(new HeldModels(1, 5, Map.of()), now);
        now = now.plusMillis(1_000);
        put("one", "a", false, Map.of("cut-sheet", Set.of()));
        assertEquals("nobody", pick(CUT_SHEET));
        now = now.plusMillis(2_000);
        put("one", "a", false, Map.of("cut-sheet", Set.of()));
        assertEquals("one", pick(CUT_SHEET));
    }

    @Test
    void anOlderEntryChangesNothing() {
        put("one", "a", true, Map.of());
        UpstreamFacts older = facts("one", "a", false, Map.of(), 0);
        assertFalse(table.put(older, now));
        assertEquals("nobody", pick(null));
    }

    @Test
    void anEntryFromBeforeTheRemovalDoesNotBringItBack() {
        put("one", "a", false, Map.of());
        assertTrue(table.remove(UpstreamId.of("one"), revision + 5));
        assertFalse(table.put(facts("one", "a", false, Map.of(), revision + 1), now));
        assertEquals("nobody", pick(null));
    }

    private String pick(ModelRef model) {
        Optional<Upstream> picked = selector.pick(table.ofService("service"), model, Set.of(), now);
        return picked.map(upstream -> upstream.facts().id().value()).orElse("nobody");
    }

    private Upstream find(String id) {
        return table.find(UpstreamId.of(id)).orElseThrow();
    }

    // Guards against ignoring a slow start where a cold upstream may get as many requests as a warm
    // one.
    @Test
    void aWarmUpstreamIsPreferredToAColdOne() {
        UpstreamFacts cold = facts("cold", "a", false, Map.of(), ++revision);
        table.put(
                new UpstreamFacts(
                        cold.id(),
                        cold.revision(),
                        cold.service(),
                        cold.endpoint(),
                        cold.zone(),
                        cold.slots(),
                        false,
                        Duration.ofSeconds(2),
                        cold.held(),
                        Set.of(),
                        Set.of()),
                now);
        put("warm", "b", false, Map.of());
        assertEquals("warm", pick(null));
    }

    private void put(String id, String zone, boolean draining, Map<String, Set<String>> models) {
        table.put(facts(id, zone, draining, models, ++revision), now);
    }

    private static UpstreamFacts facts(
            String id,
            String zone,
            boolean draining,
            Map<String, Set<String>> models,
            long revision) {
        return new UpstreamFacts(
                UpstreamId.of(id),
                revision,
                "service",
                new Endpoint("10.0.0.1", 80),
                zone,
                SLOTS,
                draining,
                Duration.ZERO,
                new HeldModels(1, HeldModels.UNKNOWN_SEQUENCE, models),
                Set.of(),
                Set.of());
    }
}
