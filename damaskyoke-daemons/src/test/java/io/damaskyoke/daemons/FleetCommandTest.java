package io.damaskyoke.daemons;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** What operators see of a whole deployment through one router. */
class FleetCommandTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @Test
    void oneRequestIsToldFromRouterToEngineAndBack() {
        try (TestFleet fleet = TestFleet.builder().routers(2).engines(1).start()) {
            assertEquals(200, fleet.chat(1, "cut-sheet", "two sinks").statusCode());
            String request = requestThatLoaded(fleet, "cut-sheet");
            await().atMost(Duration.ofSeconds(30)).until(() -> story(fleet, request).size() == 7);
            assertEquals(
                    List.of(
                            "router-2 request",
                            "router-2 handed-over",
                            "engine-1 load-begun",
                            "engine-1 loaded",
                            "engine-1 handed-over"),
                    story(fleet, request).subList(0, 5));
        }
    }

    @Test
    void theStatusNamesEveryoneAndWhoIsSilent() {
        // A VM is gone, but the list still shows it. The operator must read that it didn't answer,
        // not take a shorter table for the whole deployment.
        try (TestFleet fleet = TestFleet.builder().routers(2).engines(1).services(1).start()) {
            fleet.process("engine-1").stop();
            run(fleet, "status");
            String table = out.toString(StandardCharsets.UTF_8);
            for (String vm : List.of("router-1", "router-2", "service-1")) {
                assertTrue(table.lines().anyMatch(line -> line.startsWith(vm + " ")), table);
            }
            assertTrue(table.contains("engine-1 did not answer: "), table);
        }
    }

    private String requestThatLoaded(TestFleet fleet, String model) {
        run(fleet, "timeline", "--model", model, "--json");
        return events().filter(event -> event.path("type").asText().equals("load-begun"))
                .map(event -> event.path("details").path("request").asText())
                .findFirst()
                .orElseThrow();
    }

    private List<String> story(TestFleet fleet, String request) {
        run(fleet, "timeline", "--request", request, "--json");
        return events().map(
                        event -> event.path("process").asText() + " " + event.path("type").asText())
                .toList();
    }

    private Stream<JsonNode> events() {
        return out.toString(StandardCharsets.UTF_8).lines().map(FleetClient::json);
    }

    private void run(TestFleet fleet, String... command) {
        out.reset();
        List<String> words = new ArrayList<>(List.of(command));
        words.addAll(List.of("--router", fleet.operatorUrl("router-1")));
        words.addAll(List.of("--token", TestFleet.TOKEN));
        int code =
                new Main(Starters.ROUTER, Starters.AGENT)
                        .run(
                                words.toArray(String[]::new),
                                InputStream.nullInputStream(),
                                new PrintStream(out, true),
                                new PrintStream(err, true));
        assertEquals(0, code, err.toString(StandardCharsets.UTF_8));
    }
}
