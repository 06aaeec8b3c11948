package io.damaskyoke.standins;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineStandInTest {
    private static final String CHAT =
            "{\"model\":\"edges\",\"messages\":[{\"role\":\"user\",\"content\":\"bull nose"
                    + " edge\"}]}";

    private final ManualClock clock = new ManualClock();
    private EngineStandIn engine;
    private Client client;

    @AfterEach
    void stop() {
        engine.close();
    }

    @Test
    void answerRepeatsTheLastUserMessage() {
        start(EngineSettings.builder());
        assertEquals(404, client.call("POST", "/v1/chat/completions", CHAT).statusCode());
        load("edges", 10, 1);
        JsonNode answer = client.post("/v1/chat/completions", CHAT);
        assertEquals("bull nose edge", answer.at("/choices/0/message/content").textValue());
        assertEquals(3, answer.at("/usage/completion_tokens").intValue());
        String limited = "{\"model\":\"edges\",\"prompt\":\"a b c\",\"max_tokens\":2}";
        JsonNode cut = client.post("/v1/completions", limited);
        assertEquals("a b", cut.at("/choices/0/text").textValue());
        assertEquals("length", cut.at("/choices/0/finish_reason").textValue());
        assertEquals("edges", client.read("/v1/models").at("/data/0/id").textValue());
    }

    @Test
    void streamEndsWithReasonUsageAndDone() {
        start(EngineSettings.builder().tokenTime(Duration.ofMillis(1)));
        load("edges", 10, 1);
        String body = CHAT.replaceFirst("\\{", "{\"stream\":true,");
        List<String> lines =
                client.call("POST", "/v1/chat/completions", body)
                        .body()
                        .lines()
                        .filter(line -> !line.isEmpty())
                        .toList();
        assertEquals(5, lines.size());
        JsonNode second = Client.json(lines.get(1).substring("data: ".length()));
        assertEquals(" nose", second.at("/choices/0/delta/content").textValue());
        JsonNode last = Client.json(lines.get(3).substring("data: ".length()));
        assertEquals("stop", last.at("/choices/0/finish_reason").textValue());
        assertEquals(6, last.at("/usage/total_tokens").intValue());
        assertEquals("data: [DONE]", lines.get(4));
    }

    @Test
    void oldFencingNumberIsRefusedUnlessIgnored() {
        start(EngineSettings.builder());
        assertEquals(200, load("edges", 10, 7));
        assertEquals(409, unload("edges", 6));
        assertEquals(200, unload("edges", 7));
        engine.close();
        start(EngineSettings.builder().ignoreFencing(true));
        assertEquals(200, load("edges", 10, 7));
        assertEquals(200, unload("edges", 6));
    }

    @Test
    void memoryIsRefusedOrTheOvercommitRecorded() {
        start(EngineSettings.builder().memoryBytes(15));
        assertEquals(200, load("edges", 10, 1));
        assertEquals(507, load("sinks", 10, 1));
        assertEquals(10, client.read("/load").get("memory_used_bytes").intValue());
        engine.close();
        start(EngineSettings.builder().memoryBytes(15).allowOvercommit(true));
        load("edges", 10, 1);
        assertEquals(200, load("sinks", 10, 1));
        assertEquals(1, engine.counts().get("memory_overcommitted").intValue());
        assertEquals(20, engine.counts().get("highest_memory_used_bytes").intValue());
    }

    @Test
    void adapterNeedsItsBase() {
        start(EngineSettings.builder());
        String order =
                "{\"model\":\"kochi\",\"kind\":\"adapter\",\"base\":\"edges\","
                        + "\"memory_bytes\":1,\"fencing\":1}";
        assertEquals(409, client.call("POST", "/orders/load", order).statusCode());
        load("edges", 10, 1);
        assertEquals(200, client.call("POST", "/orders/load", order).statusCode());
        assertEquals(409, unload("edges", 2));
    }

    @Test
    void reportLags() {
        start(EngineSettings.builder().reportLag(Duration.ofSeconds(2)));
        load("edges", 10, 1);
        assertEquals(0, client.read("/load").get("loaded").size());
        clock.advance(Duration.ofSeconds(2));
        assertEquals("edges", client.read("/load").at("/loaded/0/model").textValue());
    }

    @Test
    void callersWhoLeaveMakeRoomInTheBatch() throws Exception {
        start(EngineSettings.builder().maxBatch(1).tokenTime(Duration.ofHours(1)));
        load("edges", 10, 1);
        String body = CHAT.replaceFirst("\\{", "{\"stream\":true,");
        var stream = client.open("/v1/chat/completions", body);
        var waiting = client.later("/v1/chat/completions", CHAT);
        await().until(() -> client.read("/load").get("waiting").intValue() == 1);
        stream.close();
        await().until(() -> client.read("/load").get("waiting").intValue() == 0);
        assertEquals(1, client.read("/load").get("running").intValue());
        waiting.cancel(true);
        await().until(() -> client.read("/load").get("running").intValue() == 0);
        List<CallLog.Entry> chats =
                engine.log().entries().stream()
                        .filter(e -> e.path().endsWith("chat/completions"))
                        .toList();
        assertEquals(2, chats.size());
        assertTrue(chats.stream().noneMatch(CallLog.Entry::ranToEnd));
    }

    @Test
    void loadGoesOnWithoutItsOrdererAndAsksTheWeightStore() {
        WeightStoreStandIn.Settings fast = WeightStoreStandIn.Settings.of(Duration.ofMillis(1));
        try (WeightStoreStandIn store = WeightStoreStandIn.start(0, fast)) {
            store.setFault(Fault.slow(Duration.ofMillis(300)));
            start(EngineSettings.builder().weights(URI.create(store.url())));
            var order = client.later("/orders/load", loadBody("edges", 10, 1));
            await().until(() -> client.read("/load").get("loading").size() == 1);
            order.cancel(true);
            await().until(() -> client.read("/load").get("loaded").size() == 1);
            assertEquals(1, store.counts().at("/loads/edges").intValue());
        }
        unload("edges", 1);
        assertEquals(200, load("edges", 10, 1), "the disk has it now");
        assertEquals(2, engine.counts().at("/loads/edges").intValue());
        assertEquals(1, engine.counts().at("/highest_replicas/edges").intValue());
    }

    @Test
    void failedLoadGivesItsMemoryBack() {
        start(EngineSettings.builder().weights(URI.create("http://127.0.0.1:1")));
        assertEquals(502, load("edges", 10, 1));
        assertEquals(0, client.read("/load").get("memory_used_bytes").intValue());
        assertFalse(engine.log().entries().isEmpty());
    }

    private void start(EngineSettings.Builder settings) {
        engine = EngineStandIn.start(0, settings.build(), clock);
        client = new Client(engine.url());
    }

    private int load(String model, long bytes, long fencing) {
        return client.call("POST", "/orders/load", loadBody(model, bytes, fencing)).statusCode();
    }

    private static String loadBody(String model, long bytes, long fencing) {
        return "{\"model\":\"%s\",\"memory_bytes\":%d,\"fencing\":%d}"
                .formatted(model, bytes, fencing);
    }

    private int unload(String model, long fencing) {
        String body = "{\"model\":\"%s\",\"fencing\":%d}".formatted(model, fencing);
        return client.call("POST", "/orders/unload", body).statusCode();
    }
}
