package io.damaskyoke.daemons;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.standins.CallLog;
import io.damaskyoke.standins.EngineSettings;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Callers that reset their connection: nobody computes an answer for them. */
class CallerGoneTest {
    // Less than the request's deadline of 30 s, which would end the call as well.
    private static final Duration LIMIT = Duration.ofSeconds(15);
    private static final String WORDS = "word ".repeat(200);

    private final FleetClient client = new FleetClient();
    private TestFleet fleet;

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void aCallerThatLeavesBeforeTheHeadStopsTheEngine() throws IOException {
        // The caller waits for the whole answer, which takes hours, and resets its connection. The
        // router cancels at the agent, the agent at the engine, whose place in the batch is free.
        start(Duration.ofHours(1));
        try (Socket caller = send(false)) {
            await().atMost(LIMIT).until(() -> running() == 1);
            reset(caller);
        }
        assertStopped();
    }

    @Test
    void aCallerThatLeavesInMidStreamStopsTheEngine() throws IOException {
        // The same once the first events have come.
        start(Duration.ofMillis(500));
        try (Socket caller = send(true)) {
            BufferedReader answer =
                    new BufferedReader(
                            new InputStreamReader(caller.getInputStream(), StandardCharsets.UTF_8));
            assertTrue(answer.lines().anyMatch(line -> line.startsWith("data:")));
            assertEquals(1, running());
            reset(caller);
        }
        assertStopped();
    }

    private void start(Duration tokenTime) {
        EngineSettings.Builder engine = EngineSettings.builder().tokenTime(tokenTime);
        fleet = TestFleet.builder().engines(1).engine(engine).start();
    }

    private Socket send(boolean stream) throws IOException {
        URI url = URI.create(fleet.callerUrl(0));
        String body =
                ("{\"model\":\"cut-sheet\",\"stream\":%s,"
                                + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}")
                        .formatted(stream, WORDS);
        String head =
                "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\n"
                        + "Content-Type: application/json\r\nRequest-Timeout: 30\r\n"
                        + "Content-Length: %d\r\n\r\n";
        Socket socket = new Socket(url.getHost(), url.getPort());
        String request = head.formatted(TestFleet.KEY, body.length()) + body;
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void assertStopped() {
        await().atMost(LIMIT).until(() -> running() == 0);
        List<CallLog.Entry> chats = chats();
        assertEquals(1, chats.size());
        assertFalse(chats.get(0).ranToEnd());
    }

    private List<CallLog.Entry> chats() {
        return fleet.engine("engine-1").log().entries().stream()
                .filter(call -> call.path().equals("/v1/chat/completions"))
                .toList();
    }

    private int running() {
        String load = client.get(fleet.engine("engine-1").url() + "/load", "").body();
        return FleetClient.json(load).path("running").asInt();
    }
}
