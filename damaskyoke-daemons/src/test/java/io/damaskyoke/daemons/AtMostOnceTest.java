package io.damaskyoke.daemons;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.standins.Fault;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AtMostOnceTest {
    private static final String BODY = "{\"lease\":\"north-bed-7\",\"amount\":125000}";
    private static final int LONG = 20;

    private TestFleet fleet;

    @BeforeEach
    void start() {
        fleet =
                TestFleet.builder()
                        .routers(2)
                        .services(1)
                        .serviceWork(Duration.ofMillis(300))
                        .start();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void aRepeatAtTheOtherRouterGetsTheAnswerOfTheFirst() {
        // The clerk's first answer is whole, but she sends the payment again, and the balancer
        // picks
        // the other router, which never saw the key. It finds the claim, or asks the agent.
        HttpResponse<String> first = pay(0, "pay-1", BODY);
        HttpResponse<String> again = pay(1, "pay-1", BODY);
        assertEquals(200, first.statusCode());
        assertEquals(200, again.statusCode());
        assertEquals(first.body(), again.body());
        assertEquals("true", again.headers().firstValue("Idempotent-Replayed").orElse(""));
        assertEquals("1", again.headers().firstValue("X-Executions").orElse(""));
        assertEquals(1, executions("pay-1"));
    }

    @Test
    void twoRepeatsAtOnceRunOnce() {
        // A client with a short fuse sends the same payment to both routers at the same moment. One
        // is run; the other is told to come back, and that it must not count as not run.
        List<CompletableFuture<HttpResponse<String>>> both =
                Stream.of(0, 1).map(router -> fleet.pay(router, BODY, "pay-2", LONG)).toList();
        List<HttpResponse<String>> answers = both.stream().map(CompletableFuture::join).toList();
        List<Integer> codes = answers.stream().map(HttpResponse::statusCode).sorted().toList();
        assertEquals(List.of(200, 409), codes);
        HttpResponse<String> other =
                answers.stream().filter(a -> a.statusCode() == 409).findFirst().orElseThrow();
        assertRefused(other, "in_progress", false);
        assertTrue(other.headers().firstValue("Retry-After").isPresent());
        assertEquals(1, executions("pay-2"));
    }

    @Test
    void anotherPaymentUnderTheSameKeyIsRefused() {
        pay(0, "pay-3", BODY);
        HttpResponse<String> other = pay(1, "pay-3", BODY.replace("125000", "1"));
        assertEquals(422, other.statusCode());
        assertRefused(other, "key_reused", true);
        assertEquals(1, executions("pay-3"));
    }

    @Test
    void aPaymentWhoseAnswerIsLostIsNeverRunAgain() {
        // The service runs the payment and its connection breaks before the answer. Nobody can tell
        // what came of it, so the caller is told so, and so is each repeat at either router.
        fleet.service("service-1").setFault(Fault.of(Fault.Mode.RUN_THEN_CUT).times(1));
        assertRefused(pay(0, "pay-4", BODY), "outcome_unknown", false);
        assertRefused(pay(1, "pay-4", BODY), "outcome_unknown", false);
        assertRefused(pay(0, "pay-4", BODY), "outcome_unknown", false);
        assertEquals(1, executions("pay-4"));
    }

    @Test
    void aPaymentWithoutAKeyIsNotSentTwiceEither() {
        fleet.service("service-1").setFault(Fault.of(Fault.Mode.RUN_THEN_CUT).times(1));
        assertRefused(fleet.pay(0, BODY, "").join(), "outcome_unknown", false);
        assertEquals(1, executions(BODY));
    }

    @Test
    void theOutcomeIsKnownThoughTheCallerLeft() throws Exception {
        // The buyer's connection drops while the payment runs. The payment can't be taken back, so
        // it runs to its end and is recorded; the buyer comes back at the other router and sees it.
        CompletableFuture<HttpResponse<String>> first = fleet.pay(0, BODY, "pay-5", LONG);
        await().until(() -> executions("pay-5") == 1);
        first.cancel(true);
        await().until(() -> pay(1, "pay-5", BODY).statusCode() == 200);
        assertEquals(1, executions("pay-5"));
    }

    @Test
    void inAnOutageAPaymentWaitsForTheStoreAndThenRuns() {
        // The store goes down and comes back within the payment's deadline. The caller sees a slow
        // answer and no refusal.
        fleet.kv().setFault(Fault.of(Fault.Mode.DOWN));
        CompletableFuture<HttpResponse<String>> waiting = fleet.pay(0, BODY, "pay-6", LONG);
        HttpResponse<String> short1 = fleet.pay(1, BODY, "pay-7", 1).join();
        assertRefused(short1, "store_unavailable", false);
        assertTrue(short1.headers().firstValue("Retry-After").isPresent());
        assertEquals(0, executions("pay-6") + executions("pay-7"));
        fleet.kv().setFault(Fault.NONE);
        assertEquals(200, waiting.join().statusCode());
        assertEquals(1, executions("pay-6"));
    }

    @Test
    void aLostAnswerOfTheClaimsOwnWriteStillRunsThePaymentOnce() {
        // The store takes the claim and its answer is lost. The router writes it again, finds its
        // own claim, and goes on; taken for another's, the payment would never run.
        fleet.kv().setFault(Fault.of(Fault.Mode.LOSE_ANSWERS).times(2));
        assertEquals(200, pay(0, "pay-8", BODY).statusCode());
        assertEquals(200, pay(1, "pay-8", BODY).statusCode());
        assertEquals(1, executions("pay-8"));
    }

    @Test
    void anAnswerThatIsRecordedInAnOutageIsStillGivenToRepeats() {
        // The store goes down after the claim and before the answer is written down. The first
        // caller has the answer; a repeat after the outage finds the claim, and asks its agent.
        CompletableFuture<HttpResponse<String>> first = fleet.pay(0, BODY, "pay-9", LONG);
        await().until(() -> executions("pay-9") == 1);
        fleet.kv().setFault(Fault.of(Fault.Mode.DOWN));
        assertEquals(200, first.join().statusCode());
        fleet.kv().setFault(Fault.NONE);
        assertEquals(200, pay(1, "pay-9", BODY).statusCode());
        assertEquals(1, executions("pay-9"));
    }

    @Test
    void aRouterThatStopsWritesItsLastAnswersDown() {
        // A payment is answered, and its router and its agent are replaced at once, before the
        // answer would have been written with the next claims. A repeat still gets the answer.
        HttpResponse<String> first = pay(0, "pay-10", BODY);
        fleet.process("router-1").stop();
        fleet.restart("service-1");
        await().until(() -> pay(1, "pay-10", BODY).statusCode() == 200);
        assertEquals(first.body(), pay(1, "pay-10", BODY).body());
        assertEquals(1, executions("pay-10"));
    }

    private int executions(String key) {
        return fleet.service("service-1").executions(key);
    }

    private HttpResponse<String> pay(int router, String key, String body) {
        return fleet.pay(router, body, key, LONG).join();
    }

    private static void assertRefused(HttpResponse<String> answer, String code, boolean notRun) {
        assertTrue(answer.body().contains("\"" + code + "\""), answer.body());
        assertTrue(answer.body().contains("\"not_run\":" + notRun), answer.body());
    }
}
