package io.damaskyoke.daemons;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.standins.EngineSettings;
import io.damaskyoke.standins.VmEntry;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Which engines hold which models, when routers and agents fail. */
class PlacementFleetTest {
    private static final Duration LIMIT = Duration.ofSeconds(40);
    private static final String MODEL = "cut-sheet";
    private static final String NEW_MODEL =
            """
            {"number": 2, "models": [{"name": "oak-edges", "version": "1", "pool": "engines",
              "memory_bytes": 1000000, "max_replicas": 1}]}
            """;

    private final FleetClient client = new FleetClient();

    @TempDir private Path dir;
    private TestFleet fleet;

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void firstRequestsAtTwoRoutersAtOnceLoadTheModelOnce() {
        // Callers at two routers ask for a model that nobody has loaded. Both routers read the one
        // right and send to its VM, whose agent lets all wait for one load; every caller is served.
        EngineSettings.Builder slow = EngineSettings.builder().loadTime(Duration.ofSeconds(1));
        fleet = fleet().engine(slow).start();
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            answers.add(fleet.chatLater(i % 2, MODEL, "sink " + i, false));
        }
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertEquals(200, answer.join().statusCode(), answer.join().body());
        }
        assertEquals(1, loads());
    }

    @Test
    void whenThePlanningRouterIsKilledTheOtherPlacesNewModels() {
        // The router with the placement lease is killed. Its lease lapses, the other router wins it
        // and gives the model of the next ticket a right. Until then the model's callers are
        // refused; after that they are served. Callers of a model that has a right notice nothing.
        fleet = fleet("router-1", "router-2").start();
        assertEquals(200, fleet.chat(0, MODEL, "before").statusCode());
        String killed = planner();
        ProcessFleet.kill(fleet, killed);
        int other = otherThan(killed);
        assertEquals(200, fleet.chat(other, MODEL, "meanwhile").statusCode());
        assertEquals(200, submit(other, NEW_MODEL).statusCode());
        await().atMost(LIMIT)
                .until(() -> fleet.chat(other, "oak-edges", "new").statusCode() == 200);
        assertEquals(routerName(other), planner());
        assertNeverTwice();
    }

    @Test
    void aRestartedAgentGoesOnWithItsModelsAndNobodyLoadsThemToo() {
        // An agent is killed and starts again; its engine still holds the model. The right names
        // the VM, not the agent's life, so no other VM gets one and the new life adopts the model.
        // Callers are refused while it is gone, and served by the same load afterwards.
        fleet = fleet("engine-1", "engine-2").start();
        assertEquals(200, fleet.chat(0, MODEL, "before").statusCode());
        String holder = holder();
        ProcessFleet.kill(fleet, holder);
        fleet.restart(holder);
        for (int router = 0; router < 2; router++) {
            int each = router;
            await().atMost(LIMIT).until(() -> fleet.chat(each, MODEL, "after").statusCode() == 200);
        }
        assertEquals(holder, holder());
        assertEquals(1, loads());
    }

    @Test
    void aPlanningRouterThatWasPausedMovesNothingByItsOldPlan() {
        // The router that plans is paused past its lease. The other one takes over, and as the VM
        // with the model is to leave, moves the right once the old holder has unloaded. Then the
        // paused one goes on with its old table: it sees that its lease is past, and what it has
        // begun to write fails in the compare and swap. Never do two VMs hold the model.
        fleet = fleet("router-1", "router-2").start();
        assertEquals(200, fleet.chat(0, MODEL, "before").statusCode());
        String paused = planner();
        String first = holder();
        ProcessFleet.freeze(fleet, paused);
        int other = otherThan(paused);
        await().atMost(LIMIT).until(() -> planner().equals(routerName(other)));
        show(first, "leaving");
        await().atMost(LIMIT).until(() -> movedFrom(first, other));
        ProcessFleet.thaw(fleet, paused);
        show(first, "live");
        await().atMost(LIMIT).until(() -> hasLost(paused));
        int thawed = otherThan(routerName(other));
        await().atMost(LIMIT).until(() -> fleet.chat(thawed, MODEL, "thawed").statusCode() == 200);
        assertNotEquals(first, holder());
        assertNeverTwice();
    }

    private TestFleet.Builder fleet(String... harmed) {
        FleetProcess.Launcher launcher = ProcessFleet.in(dir, harmed);
        return TestFleet.builder()
                .routers(2)
                .engines(2)
                .launcher((role, name, toml) -> launcher.launch(role, name, toml + lease(role)));
    }

    // Long enough for a busy machine, and short enough to wait for its end.
    private static String lease(String role) {
        return role.equals("router") ? "[control]\nplacement-lease = \"4s\"\n" : "";
    }

    private HttpResponse<String> submit(int router, String ticket) {
        String url = fleet.operatorUrl(routerName(router)) + "/operator/v1/tickets";
        return client.post(url, TestFleet.TOKEN, ticket);
    }

    /** The router whose name stands under the placement lease in the store; empty if none does. */
    private String planner() {
        String all = "{\"key\":\"AA==\",\"range_end\":\"AA==\"}";
        String stored = client.post(fleet.kv().url() + "/v3/kv/range", "", all).body();
        for (JsonNode entry : FleetClient.json(stored).path("kvs")) {
            if (decoded(entry.path("key")).endsWith("/placement-lease")) {
                String value = decoded(entry.path("value"));
                return value.startsWith("router-1") ? "router-1" : "router-2";
            }
        }
        return "";
    }

    private boolean hasLost(String router) {
        return fleet.operator(router, "/operator/v1/timeline").body().contains("lease-lost");
    }

    private static String decoded(JsonNode text) {
        return new String(Base64.getDecoder().decode(text.asText()), StandardCharsets.UTF_8);
    }

    private int otherThan(String router) {
        return router.equals("router-1") ? 1 : 0;
    }

    private static String routerName(int index) {
        return "router-" + (index + 1);
    }

    private boolean movedFrom(String engine, int router) {
        return fleet.chat(router, MODEL, "moving").statusCode() == 200 && !holder().equals(engine);
    }

    private void show(String vm, String state) {
        for (VmEntry entry : fleet.list().shown()) {
            if (entry.vm().equals(vm)) {
                fleet.list().put(entry.withState(state));
            }
        }
    }

    /** The engine that holds the model now; empty if none does. */
    private String holder() {
        return spans().stream()
                .filter(span -> span.until().equals(Instant.MAX))
                .map(Span::engine)
                .findFirst()
                .orElse("");
    }

    private int loads() {
        return spans().size();
    }

    private void assertNeverTwice() {
        List<Span> all = spans();
        for (Span one : all) {
            for (Span two : all) {
                assertTrue(one.equals(two) || !one.overlaps(two), all.toString());
            }
        }
    }

    /** Every time that an engine held memory for the model. */
    private List<Span> spans() {
        List<Span> spans = new ArrayList<>();
        for (String engine : List.of("engine-1", "engine-2")) {
            for (JsonNode span : fleet.engine(engine).counts().path("spans")) {
                if (span.path("model").asText().equals(MODEL)) {
                    spans.add(Span.of(engine, span));
                }
            }
        }
        return spans;
    }

    private record Span(String engine, Instant from, Instant until) {
        static Span of(String engine, JsonNode span) {
            JsonNode until = span.path("until");
            return new Span(
                    engine,
                    Instant.parse(span.path("from").asText()),
                    until.isNull() ? Instant.MAX : Instant.parse(until.asText()));
        }

        boolean overlaps(Span other) {
            return from.isBefore(other.until) && other.from.isBefore(until);
        }
    }
}
