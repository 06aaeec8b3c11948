package io.damaskyoke.daemons;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.standins.EngineSettings;
import io.damaskyoke.standins.Fault;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What callers see when whole processes fail; those that a test harms run on their own. */
class FleetFailureTest {
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final String PAYMENT = "{\"lease\":7,\"amount\":125000}";

    @TempDir private Path dir;
    private TestFleet fleet;

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void aPaymentWhoseAgentIsKilledRunsOnceAndIsNotCalledNotRun() {
        // The caller pays, the agent hands the payment over and is killed before the answer. The
        // router can't know whether it ran, so it must neither send it to the other agent nor say
        // "not run"; it did run, and a caller who pays again on a false word is charged twice.
        fleet =
                processes("service-1", "service-2")
                        .services(2)
                        .serviceWork(Duration.ofSeconds(3))
                        .start();
        CompletableFuture<HttpResponse<String>> answer = fleet.pay(0, PAYMENT, "");
        await().atMost(LIMIT).until(() -> executions() == 1);
        String running = executions("service-1") == 1 ? "service-1" : "service-2";
        ProcessFleet.kill(fleet, running);
        JsonNode error = error(answer.join());
        assertEquals("outcome_unknown", error.path("code").asText());
        assertFalse(error.path("not_run").asBoolean());
        assertEquals(1, executions());
    }

    @Test
    void aKilledRouterTakesNoOtherDownWithIt() {
        // The callers of a router that is killed lose their connections; those of the others go
        // on. No router holds anything that another needs for a warm request.
        fleet = processes("router-1").routers(2).engines(1).start();
        assertEquals(200, fleet.chat(0, "cut-sheet", "before").statusCode());
        ProcessFleet.kill(fleet, "router-1");
        for (int i = 0; i < 20; i++) {
            assertEquals(200, fleet.chat(1, "cut-sheet", "after " + i).statusCode());
        }
    }

    @Test
    void aRepeatableRequestWhoseAgentIsPausedIsServedByAnother() {
        // A VM is paused in front of look-ups. Its links stay open and silent, so the router closes
        // them after the silence limit, and a request that may be repeated goes to the other agent.
        // What the VM answers once it goes on belongs to a link that is gone, and reaches nobody.
        fleet = processes("service-1").services(2).start();
        lookUp(4);
        int before = executions("service-1");
        assertTrue(before > 0, "both agents serve");
        ProcessFleet.freeze(fleet, "service-1");
        lookUp(4);
        ProcessFleet.thaw(fleet, "service-1");
        lookUp(4);
    }

    @Test
    void anAgentKilledInALoadAndRestartedLoadsNoModelTwice() {
        // An agent orders a load and is killed; the engine goes on loading. The new life finds the
        // load in the engine's report or hears "already loading", and must not take the model for
        // a second replica. The caller gets the answer or a refusal, and a repeat is served.
        EngineSettings.Builder slow = EngineSettings.builder().loadTime(Duration.ofSeconds(2));
        fleet = processes("engine-1").engines(1).engine(slow).start();
        CompletableFuture<HttpResponse<String>> first =
                fleet.chatLater(0, "cut-sheet", "two sinks", false);
        await().atMost(LIMIT).until(() -> loadOrders() == 1);
        ProcessFleet.kill(fleet, "engine-1");
        fleet.restart("engine-1");
        answeredOrRefused(first.join());
        await().atMost(LIMIT).until(() -> fleet.chat(0, "cut-sheet", "again").statusCode() == 200);
        JsonNode counts = fleet.engine("engine-1").counts();
        assertEquals(1, counts.path("loads").path("cut-sheet").asInt(), counts.toString());
    }

    @Test
    void stoppingAnAgentUnderStreamsCutsNone() {
        // An operator stops an agent while answers stream from it. It tells its routers, takes no
        // more, and lets the streams end before it ends; every caller gets its last event.
        streamsSurviveTheStopOf("engine-1");
    }

    @Test
    void stoppingARouterUnderStreamsCutsNone() {
        // The same with a router: it turns not ready, waits for the balancer, closes its port to
        // new connections, and ends when the last stream has.
        streamsSurviveTheStopOf("router-1");
    }

    @Test
    void warmRequestsGoOnWhileTheStoreIsDown() {
        // The key-value service goes away under traffic. Keys, models and places are known here,
        // and the configuration was confirmed moments ago, so a warm request needs nothing of it.
        fleet = processes().engines(1).services(1).start();
        assertEquals(200, fleet.chat(0, "cut-sheet", "warm").statusCode());
        fleet.kv().setFault(Fault.of(Fault.Mode.DOWN));
        for (int i = 0; i < 20; i++) {
            assertEquals(200, fleet.chat(0, "cut-sheet", "outage " + i).statusCode());
        }
        await().atMost(LIMIT)
                .until(() -> fleet.operator("router-1", TIMELINE).body().contains("store-down"));
        fleet.kv().setFault(Fault.NONE);
        await().atMost(LIMIT)
                .until(() -> fleet.operator("router-1", TIMELINE).body().contains("store-up"));
    }

    @Test
    void aWithdrawnKeyIsRefusedOnItsOpenConnection() throws IOException {
        // A caller keeps its connection open while an operator withdraws its key by a ticket at
        // another router. Its next request on the very same connection is refused.
        fleet = processes().routers(2).engines(1).start();
        try (KeptConnection caller = KeptConnection.to(fleet.callerUrl(1), TestFleet.KEY)) {
            assertEquals(200, caller.get("/v1/models"));
            fleet.submit(
                    """
                    {"number": 2, "keys": [{"id": "kitchens-1", "workspace": "kitchens",
                      "key": "a-caller-key-of-kitchens", "state": "withdrawn"}]}
                    """);
            assertEquals(401, caller.get("/v1/models"));
        }
    }

    @Test
    void framesOfAnotherProtocolOnThePeerPortHarmNobody() throws IOException {
        // A scanner, or a client with a wrong port, talks HTTP and noise to the peer ports. Those
        // links are closed; requests over the real links go on, and nobody's memory grows.
        fleet = processes().engines(1).start();
        for (String name : List.of("router-1", "engine-1")) {
            int port = fleet.process(name).ready().path("peer_port").asInt();
            for (String noise :
                    List.of("GET / HTTP/1.1\r\n\r\n", "\u007f\u007f\u007f\u007f\u007f")) {
                try (Socket socket = new Socket("127.0.0.1", port)) {
                    OutputStream out = socket.getOutputStream();
                    out.write(noise.getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    socket.shutdownOutput();
                    assertEquals(-1, drain(socket));
                }
            }
        }
        assertEquals(200, fleet.chat(0, "cut-sheet", "still here").statusCode());
    }

    @Test
    void anAgentThatTheListDoesNotShowYetServes() {
        // The platform's list lags: a new VM registers in the store and takes work before the list
        // shows it. A VM that the list never showed isn't gone, so its caller is served.
        fleet = processes().engines(1).unlisted().start();
        assertTrue(fleet.list().shown().isEmpty());
        assertEquals(200, fleet.chat(0, "cut-sheet", "early").statusCode());
    }

    @Test
    void everyRefusalThatSaysNotRunIsTrue() {
        // Payments stream in while their only agent is killed and restarted. Each caller gets an
        // answer; whoever hears "not run" may pay again, so the service must never have seen it.
        fleet = processes("service-1").services(1).serviceWork(Duration.ofMillis(100)).start();
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            answers.add(fleet.pay(0, payment(i), ""));
        }
        await().atMost(LIMIT).until(() -> executions() >= 1);
        ProcessFleet.kill(fleet, "service-1");
        fleet.restart("service-1");
        for (int i = 0; i < answers.size(); i++) {
            HttpResponse<String> answer = answers.get(i).join();
            int ran = fleet.service("service-1").executions(payment(i));
            assertTrue(ran <= 1, payment(i) + " ran " + ran + " times");
            if (answer.statusCode() == 200) {
                assertEquals(payment(i), answer.body());
                assertEquals(1, ran);
            } else if (error(answer).path("not_run").asBoolean()) {
                assertEquals(0, ran, answer.body());
            }
        }
    }

    private static final String TIMELINE = "/operator/v1/timeline";

    private void streamsSurviveTheStopOf(String name) {
        EngineSettings.Builder slow = EngineSettings.builder().tokenTime(Duration.ofMillis(30));
        fleet = processes(name).engines(1).engine(slow).start();
        assertEquals(200, fleet.chat(0, "cut-sheet", "warm").statusCode());
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            answers.add(fleet.chatLater(0, "cut-sheet", "word ".repeat(40) + i, true));
        }
        await().atMost(LIMIT).until(() -> chatsAtEngine() == 7);
        ProcessFleet.terminate(fleet, name);
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            String body = answer.join().body();
            assertEquals(200, answer.join().statusCode(), body);
            assertTrue(body.strip().endsWith("data: [DONE]"), body);
        }
        assertEquals(0, ProcessFleet.awaitExit(fleet, name));
    }

    private void lookUp(int count) {
        for (int i = 0; i < count; i++) {
            HttpResponse<String> answer = fleet.lookUp(0, "/leases/" + i);
            assertEquals(200, answer.statusCode(), answer.body());
        }
    }

    private TestFleet.Builder processes(String... harmed) {
        return TestFleet.builder().launcher(ProcessFleet.in(dir, harmed));
    }

    private static String payment(int number) {
        return "{\"lease\":" + number + "}";
    }

    private static void answeredOrRefused(HttpResponse<String> answer) {
        if (answer.statusCode() != 200) {
            assertFalse(error(answer).path("code").asText().isEmpty(), answer.body());
        }
    }

    private static JsonNode error(HttpResponse<String> answer) {
        return FleetClient.json(answer.body()).path("error");
    }

    private int executions() {
        return executions("service-1") + executionsOfSecond();
    }

    private int executionsOfSecond() {
        return fleet.status("router-1").path("agents").size() > 1 ? executions("service-2") : 0;
    }

    private int executions(String service) {
        return fleet.service(service).log().entries().size();
    }

    private long loadOrders() {
        return calls("/orders/load");
    }

    private long chatsAtEngine() {
        return calls("/v1/chat/completions");
    }

    private long calls(String path) {
        return fleet.engine("engine-1").log().entries().stream()
                .filter(call -> call.path().equals(path))
                .count();
    }

    private static int drain(Socket socket) throws IOException {
        socket.setSoTimeout((int) LIMIT.toMillis());
        int read = 0;
        while (read >= 0) {
            read = socket.getInputStream().read();
        }
        return read;
    }
}
