package io.damaskyoke.standins;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class KeyValueStandInTest {
    private final ManualClock clock = new ManualClock();
    private final KeyValueStandIn standIn = KeyValueStandIn.start(0, clock, 4);
    private final Client client = new Client(standIn.url());

    @AfterEach
    void stop() {
        standIn.close();
    }

    @Test
    void putKeepsCreateRevisionAndCountsVersions() {
        assertEquals("2", put("a", "1").at("/header/revision").textValue());
        put("a", "2");
        JsonNode kv = range("a", "").at("/kvs/0");
        assertEquals("2", kv.get("create_revision").textValue());
        assertEquals("3", kv.get("mod_revision").textValue());
        assertEquals("2", kv.get("version").textValue());
        assertEquals(Client.base64("2"), kv.get("value").textValue());
        assertFalse(kv.has("lease"), "defaults are left out");
    }

    @Test
    void rangeIsSortedAndLimited() {
        put("b", "2");
        put("a", "1");
        put("c", "3");
        JsonNode answer = range("a", "c");
        assertEquals("2", answer.get("count").textValue());
        assertEquals(Client.base64("a"), answer.at("/kvs/0/key").textValue());
        String all = "{\"key\":\"AA==\",\"range_end\":\"AA==\",\"limit\":\"1\",\"keysOnly\":true}";
        JsonNode limited = client.post("/v3/kv/range", all);
        assertTrue(limited.get("more").booleanValue());
        assertEquals(1, limited.get("kvs").size());
        assertNull(limited.at("/kvs/0").get("value"));
    }

    @Test
    void onlyOneOfTwoCreatesSucceeds() {
        assertTrue(create("k", "first").path("succeeded").asBoolean());
        JsonNode second = create("k", "second");
        assertFalse(second.path("succeeded").asBoolean());
        JsonNode found = second.at("/responses/0/response_range/kvs/0/value");
        assertEquals(Client.base64("first"), found.textValue());
        assertEquals("2", second.at("/header/revision").textValue());
    }

    @Test
    void writesOfOneTxnShareARevision() {
        String first = "{\"requestPut\":{\"key\":\"YQ==\",\"value\":\"MQ==\"}}";
        String second = "{\"request_put\":{\"key\":\"Yg==\",\"value\":\"MQ==\"}}";
        client.post("/v3/kv/txn", "{\"success\":[" + first + "," + second + "]}");
        JsonNode kvs = range("a", "z").get("kvs");
        assertEquals("2", kvs.at("/0/mod_revision").textValue());
        assertEquals("2", kvs.at("/1/mod_revision").textValue());
    }

    @Test
    void rubbishIsRefused() {
        assertEquals(400, client.call("POST", "/v3/kv/put", "{").statusCode());
        assertEquals(400, client.call("POST", "/v3/kv/put", "{}").statusCode());
        assertEquals(404, client.call("POST", "/v3/kv/nothing", "{}").statusCode());
        String large = "x".repeat((1 << 20) + 1);
        assertEquals(400, client.call("POST", "/v3/kv/put", putBody("a", large)).statusCode());
        String twice = "{\"request_put\":" + putBody("a", "1") + "}";
        String txn = "{\"success\":[" + twice + "," + twice + "]}";
        assertEquals(400, client.call("POST", "/v3/kv/txn", txn).statusCode());
    }

    @Test
    void keysGoWithTheirLease() {
        String id = client.post("/v3/lease/grant", "{\"TTL\":\"10\"}").get("ID").textValue();
        String body = putBody("a", "1").replace("}", ",\"lease\":\"" + id + "\"}");
        client.post("/v3/kv/put", body);
        clock.advance(Duration.ofSeconds(9));
        JsonNode alive = client.post("/v3/lease/keepalive", "{\"ID\":\"" + id + "\"}");
        assertEquals("10", alive.at("/result/TTL").textValue());
        clock.advance(Duration.ofSeconds(9));
        assertEquals("1", range("a", "").path("count").textValue());
        clock.advance(Duration.ofSeconds(1));
        assertFalse(range("a", "").has("count"));
        JsonNode gone = client.post("/v3/lease/keepalive", "{\"ID\":\"" + id + "\"}");
        assertFalse(gone.get("result").has("TTL"));
        assertEquals(404, client.call("POST", "/v3/kv/put", body).statusCode());
    }

    @Test
    void watchTellsOldAndNewEvents() throws Exception {
        put("a", "1");
        put("other", "1");
        try (BufferedReader watch = watch("a", 2)) {
            assertTrue(next(watch).get("created").booleanValue());
            assertEquals("2", next(watch).at("/events/0/kv/mod_revision").textValue());
            assertEquals(1, standIn.calls().get("watches_open").intValue());
            client.post("/v3/kv/deleterange", "{\"key\":\"" + Client.base64("a") + "\"}");
            JsonNode event = next(watch).at("/events/0");
            assertEquals("DELETE", event.get("type").textValue());
            assertEquals("4", event.at("/kv/mod_revision").textValue());
        }
        await().until(() -> standIn.calls().get("watches_open").intValue() == 0);
    }

    @Test
    void watchFromACompactedRevisionIsCancelled() throws Exception {
        for (int i = 0; i < 6; i++) {
            put("a", "" + i);
        }
        try (BufferedReader watch = watch("a", 2)) {
            assertTrue(next(watch).get("created").booleanValue());
            JsonNode end = next(watch);
            assertTrue(end.get("canceled").booleanValue());
            assertEquals("4", end.get("compact_revision").textValue());
        }
    }

    @Test
    void lostAnswerLeavesTheWriteInForce() {
        standIn.setFault(Fault.of(Fault.Mode.LOSE_ANSWERS).times(1));
        assertFalse(range("a", "").has("count"), "reads are spared");
        assertThrows(UncheckedIOException.class, () -> put("a", "1"));
        assertEquals("1", range("a", "").get("count").textValue());
        assertEquals("3", put("b", "1").at("/header/revision").textValue());
        assertEquals(2, standIn.calls().get("writes").intValue());
    }

    @Test
    void outageCutsWatchesAndRefusesCalls() throws Exception {
        BufferedReader watch = watch("a", 0);
        next(watch);
        client.post("/fault", "{\"mode\":\"down\"}");
        assertThrows(IOException.class, watch::readLine);
        assertEquals(503, client.call("POST", "/v3/kv/range", "{}").statusCode());
        client.post("/fault", "{\"mode\":\"up\"}");
        assertEquals("2", put("a", "1").at("/header/revision").textValue());
    }

    @Test
    void watchCatchesUpAfterTheHang() throws Exception {
        client.post("/v3/lease/grant", "{\"ID\":\"5\",\"TTL\":\"10\"}");
        client.post("/v3/kv/put", putBody("a", "1").replace("}", ",\"lease\":\"5\"}"));
        try (BufferedReader watch = watch("a", 0)) {
            next(watch);
            standIn.setFault(Fault.of(Fault.Mode.HANG));
            var never = client.later("/v3/kv/put", putBody("a", "2"));
            clock.advance(Duration.ofSeconds(10));
            await().until(() -> standIn.revision() == 3);
            assertFalse(watch.ready(), "the watch is silent");
            assertFalse(never.isDone(), "a call gets no answer");
            standIn.setFault(Fault.NONE);
            assertEquals("DELETE", next(watch).at("/events/0/type").textValue());
            never.cancel(true);
        }
    }

    private JsonNode put(String key, String value) {
        return client.post("/v3/kv/put", putBody(key, value));
    }

    private static String putBody(String key, String value) {
        return "{\"key\":\"%s\",\"value\":\"%s\"}"
                .formatted(Client.base64(key), Client.base64(value));
    }

    private JsonNode range(String key, String end) {
        String body = "{\"key\":\"%s\",\"range_end\":\"%s\"}";
        return client.post("/v3/kv/range", body.formatted(Client.base64(key), Client.base64(end)));
    }

    private JsonNode create(String key, String value) {
        String body =
                """
                {"compare":[{"key":"%s","target":"CREATE","result":"EQUAL","create_revision":"0"}],
                 "success":[{"request_put":%s}],
                 "failure":[{"request_range":{"key":"%s"}}]}
                """;
        String name = Client.base64(key);
        return client.post("/v3/kv/txn", body.formatted(name, putBody(key, value), name));
    }

    private BufferedReader watch(String key, long start) throws Exception {
        String body = "{\"create_request\":{\"key\":\"%s\",\"start_revision\":\"%d\"}}";
        return new BufferedReader(
                new InputStreamReader(
                        client.open("/v3/watch", body.formatted(Client.base64(key), start))));
    }

    private static JsonNode next(BufferedReader watch) throws IOException {
        return Client.json(watch.readLine()).get("result");
    }
}
