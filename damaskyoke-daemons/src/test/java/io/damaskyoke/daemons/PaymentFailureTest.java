package io.damaskyoke.daemons;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.standins.Fault;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Payments with a key while processes die and freeze; those that a test harms run on their own. */
class PaymentFailureTest {
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final Duration WORK = Duration.ofSeconds(1);
    private static final String PAYMENT = "{\"lease\":7,\"amount\":125000}";
    private static final String KEY = "pay-1";
    private static final Set<String> HONEST =
            Set.of("in_progress", "outcome_unknown", "store_unavailable", "no_upstream");

    @TempDir private Path dir;
    private TestFleet fleet;

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void aRepeatAfterItsRouterWasKilledGetsTheAnswerOfTheOneRun() {
        // The router hands the payment over and is killed; the caller's connection breaks, and the
        // caller repeats the key at the other router. The agent has finished the payment on its own
        // and remembers its answer, so the repeat is told "in progress" and then gets that answer.
        fleet = processes("router-1").services(2).serviceWork(WORK).start();
        CompletableFuture<HttpResponse<String>> first = fleet.pay(0, PAYMENT, KEY);
        await().atMost(LIMIT).until(() -> executions(KEY) == 1);
        ProcessFleet.kill(fleet, "router-1");
        assertTrue(brokeOff(first));
        assertReplayed(awaitServed(1));
        assertEquals(1, executions(KEY));
    }

    @Test
    void aRouterKilledAfterLostAnswersOfAStoreThatGoesDownLeavesOneRun() {
        // The store loses the answer to the claim, the router finds its own claim and hands over,
        // the store goes down and the router is killed. In the outage the repeat is refused and is
        // not called "not run", since the payment did run; after it, the repeat gets its answer.
        fleet = processes("router-1").services(2).serviceWork(WORK).start();
        fleet.kv().setFault(Fault.of(Fault.Mode.LOSE_ANSWERS).times(2));
        CompletableFuture<HttpResponse<String>> first = fleet.pay(0, PAYMENT, KEY);
        await().atMost(LIMIT).until(() -> executions(KEY) == 1);
        fleet.kv().setFault(Fault.of(Fault.Mode.DOWN));
        ProcessFleet.kill(fleet, "router-1");
        assertTrue(brokeOff(first));
        HttpResponse<String> outage = fleet.pay(1, PAYMENT, KEY, 2).join();
        assertEquals("store_unavailable", code(outage));
        assertFalse(notRun(outage));
        fleet.kv().setFault(Fault.NONE);
        assertReplayed(awaitServed(1));
        assertEquals(1, executions(KEY));
    }

    @Test
    void paymentsAroundTheDeathOfAnAgentRunOnceEach() {
        // Thirty payments come at both routers at once, and one of two agents is killed when it has
        // answered some, runs some and has some waiting. Each try gets an honest answer; then all
        // are repeated at both routers until each key has its outcome, and none has run again.
        fleet = processes("service-1").services(2).serviceWork(Duration.ofMillis(300)).start();
        Map<String, List<HttpResponse<String>>> answers = new HashMap<>();
        List<CompletableFuture<Void>> tries = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            String key = "pay-" + i;
            for (int router = 0; router < 2; router++) {
                tries.add(
                        fleet.pay(router, body(key), key, 6).thenAccept(a -> add(answers, a, key)));
            }
        }
        await().atMost(LIMIT).until(() -> executionsAt("service-1") >= 5);
        ProcessFleet.kill(fleet, "service-1");
        tries.forEach(CompletableFuture::join);
        answers.forEach(this::assertNoneLies);
        await().atMost(LIMIT)
                .until(
                        () -> outcomes(answers.keySet()),
                        told -> told.values().stream().allMatch(both -> settled(both)))
                .forEach((key, both) -> assertEquals(both.get(0), both.get(1), key));
        answers.keySet().forEach(key -> assertTrue(executions(key) <= 1, key));
    }

    @Test
    void aRouterFrozenAfterTheHandOverRunsThePaymentOnce() {
        // A router's VM is paused while its payment runs. The repeat at the other router finds the
        // claim, asks the agent, and gets the answer; when the first router goes on, its own caller
        // gets the same or hears that the outcome is unknown, and nothing is sent again.
        fleet = processes("router-1").services(2).serviceWork(WORK).start();
        CompletableFuture<HttpResponse<String>> first = fleet.pay(0, PAYMENT, KEY);
        await().atMost(LIMIT).until(() -> executions(KEY) == 1);
        ProcessFleet.freeze(fleet, "router-1");
        assertReplayed(awaitServed(1));
        ProcessFleet.thaw(fleet, "router-1");
        assertServedOrHonest(first.join());
        assertReplayed(awaitServed(0));
        assertEquals(1, executions(KEY));
    }

    @Test
    void aRouterFrozenBeforeItsClaimFindsThatThePaymentRanElsewhere() {
        // A router waits for the store with a payment when its VM is paused. The store comes back,
        // and the repeat at the other router claims the key and runs. The first router goes on with
        // what it was about to do, finds the other's claim, and passes on that answer.
        fleet = processes("router-1").services(2).start();
        fleet.kv().setFault(Fault.of(Fault.Mode.DOWN));
        CompletableFuture<HttpResponse<String>> first = fleet.pay(0, PAYMENT, KEY);
        await().atMost(LIMIT).until(() -> metric("router-1", "claim_commits_failed") > 0);
        ProcessFleet.freeze(fleet, "router-1");
        fleet.kv().setFault(Fault.NONE);
        assertEquals(200, awaitServed(1).statusCode());
        ProcessFleet.thaw(fleet, "router-1");
        assertServedOrHonest(first.join());
        assertReplayed(awaitServed(0));
        assertEquals(1, executions(KEY));
    }

    @Test
    void aRepeatAfterItsVmWasReplacedDoesNotRunAgain() {
        // The only agent is killed while the payment runs, and a new one takes its place, knowing
        // nothing; the service did run it. The claim still stands, so the repeats are told "in
        // progress" until no router can be waiting any more, and "outcome unknown" from then on.
        fleet = processes("service-1").services(1).serviceWork(WORK).start();
        CompletableFuture<HttpResponse<String>> first = fleet.pay(0, PAYMENT, KEY, 2);
        await().atMost(LIMIT).until(() -> executions(KEY) == 1);
        ProcessFleet.kill(fleet, "service-1");
        assertEquals("outcome_unknown", code(first.join()));
        fleet.restart("service-1");
        fleet.awaitAgents();
        for (int router = 0; router < 2; router++) {
            int each = router;
            await().atMost(LIMIT).until(() -> code(repeat(each, KEY)).equals("outcome_unknown"));
        }
        assertEquals(1, executions(KEY));
    }

    @Test
    void aRepeatGetsItsRecordedAnswerWhileNoAgentIsLeft() {
        // The payment is answered, and the pool's only agent stops. The repeat needs no agent, only
        // the store; refused for want of one, the caller would not learn that it has paid.
        fleet = processes().services(1).start();
        HttpResponse<String> first = fleet.pay(0, PAYMENT, KEY).join();
        assertEquals(200, first.statusCode(), first.body());
        await().atMost(LIMIT).until(() -> metric("router-1", "claims_settled") > 0);
        fleet.process("service-1").stop();
        await().atMost(LIMIT)
                .until(() -> code(fleet.pay(1, PAYMENT, "").join()).equals("no_upstream"));
        HttpResponse<String> again = fleet.pay(1, PAYMENT, KEY).join();
        assertReplayed(again);
        assertEquals(first.body(), again.body());
        HttpResponse<String> unknown = fleet.pay(1, PAYMENT, "pay-2").join();
        assertEquals("no_upstream", code(unknown));
        assertFalse(notRun(unknown));
        assertEquals(1, executions(KEY));
    }

    private TestFleet.Builder processes(String... harmed) {
        return TestFleet.builder().routers(2).launcher(ProcessFleet.in(dir, harmed));
    }

    private static String body(String key) {
        return "{\"payment\":\"" + key + "\"}";
    }

    private static void add(
            Map<String, List<HttpResponse<String>>> answers,
            HttpResponse<String> answer,
            String key) {
        synchronized (answers) {
            answers.computeIfAbsent(key, any -> new ArrayList<>()).add(answer);
        }
    }

    private void assertNoneLies(String key, List<HttpResponse<String>> tries) {
        int ran = executions(key);
        assertTrue(ran <= 1, key + " ran " + ran + " times");
        for (HttpResponse<String> answer : tries) {
            if (answer.statusCode() == 200) {
                assertEquals(1, ran, key);
            } else if (notRun(answer)) {
                assertEquals(0, ran, key + ": " + answer.body());
            }
        }
    }

    // All at once: each question about a claim of the dead agent takes a while.
    private Map<String, List<String>> outcomes(Set<String> keys) {
        Map<String, List<CompletableFuture<String>>> asked = new HashMap<>();
        for (String key : keys) {
            asked.put(key, List.of(outcome(0, key), outcome(1, key)));
        }
        Map<String, List<String>> told = new HashMap<>();
        asked.forEach(
                (key, both) -> told.put(key, both.stream().map(CompletableFuture::join).toList()));
        return told;
    }

    private static boolean settled(List<String> both) {
        return both.stream().allMatch(Set.of("200", "outcome_unknown")::contains);
    }

    private CompletableFuture<String> outcome(int router, String key) {
        return fleet.pay(router, body(key), key, 6)
                .thenApply(answer -> answer.statusCode() == 200 ? "200" : code(answer));
    }

    private HttpResponse<String> repeat(int router, String key) {
        HttpResponse<String> answer = fleet.pay(router, PAYMENT, key, 10).join();
        assertServedOrHonest(answer);
        return answer;
    }

    private HttpResponse<String> awaitServed(int router) {
        return await().atMost(LIMIT)
                .until(() -> repeat(router, KEY), answer -> answer.statusCode() == 200);
    }

    private static void assertReplayed(HttpResponse<String> answer) {
        assertEquals(200, answer.statusCode(), answer.body());
        assertEquals("true", answer.headers().firstValue("Idempotent-Replayed").orElse(""));
        assertEquals(PAYMENT, answer.body());
    }

    private static void assertServedOrHonest(HttpResponse<String> answer) {
        if (answer.statusCode() != 200) {
            assertTrue(HONEST.contains(code(answer)), answer.body());
            assertFalse(notRun(answer), answer.body());
        }
    }

    private static boolean brokeOff(CompletableFuture<HttpResponse<String>> answer) {
        return answer.handle((there, failure) -> failure != null).join();
    }

    private static String code(HttpResponse<String> answer) {
        return answer.statusCode() == 200 ? "" : error(answer).path("code").asText();
    }

    private static boolean notRun(HttpResponse<String> answer) {
        return error(answer).path("not_run").asBoolean();
    }

    private static JsonNode error(HttpResponse<String> answer) {
        return FleetClient.json(answer.body()).path("error");
    }

    private double metric(String process, String name) {
        return fleet.operator(process, "/operator/v1/metrics")
                .body()
                .lines()
                .filter(line -> line.contains(name) && !line.startsWith("#"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
                .sum();
    }

    private int executions(String key) {
        return fleet.services().stream().mapToInt(service -> service.executions(key)).sum();
    }

    private int executionsAt(String service) {
        return fleet.service(service).log().entries().size();
    }
}
