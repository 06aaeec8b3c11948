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

    private PaymentsFleet fleet;

    @BeforeEach
    void start() {
        fleet = PaymentsFleet.start(Duration.ofMillis(300));
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
        assertEquals(1, fleet.service.executions("pay-1"));
    }

    @Test
    void twoRepeatsAtOnceRunOnce() {
        // A client with a short fuse sends the same payment to both routers at the same moment. One
        // is run; the other is told to come back, and that it must not count as not run.
        List<CompletableFuture<HttpResponse<String>>> both =
                Stream.of(0, 1).map(router -> fleet.pay(router, "pay-2", BODY, LONG)).toList();
        List<HttpResponse<String>> answers = both.stream().map(CompletableFuture::join).toList();
        List<Integer> codes = answers.stream().map(HttpResponse::statusCode).sorted().toList();
        assertEquals(List.of(200, 409), codes);
        HttpResponse<String> other =
                answers.stream().filter(a -> a.statusCode() == 409).findFirst().orElseThrow();
        assertRefused(other, "in_progress", false);
        assertTrue(other.headers().firstValue("Retry-After").isPresent());
        assertEquals(1, fleet.service.executions("pay-2"));
    }

    @Test
    void anotherPaymentUnderTheSameKeyIsRefused() {
        pay(0, "pay-3", BODY);
        HttpResponse<String> other = pay(1, "pay-3", BODY.replace("125000", "1"));
        assertEquals(422, other.statusCode());
        assertRefused(other, "key_reused", true);
        assertEquals(1, fleet.service.executions("pay-3"));
    }

    @Test
    void aPaymentWhoseAnswerIsLostIsNeverRunAgain() {
        // The service runs the payment and its connection breaks before the answer. Nobody can tell
        // what came of it, so the caller is told so, and so is each repeat at either router.
        fleet.service.setFault(Fault.of(Fault.Mode.RUN_THEN_CUT).times(1));
        assertRefused(pay(0, "pay-4", BODY), "outcome_unknown", false);
        assertRefused(pay(1, "pay-4", BODY), "outcome_unknown", false);
        assertRefused(pay(0, "pay-4", BODY), "outcome_unknown", false);
        assertEquals(1, fleet.service.executions("pay-4"));
    }

    @Test
    void aPaymentWithoutAKeyIsNotSentTwiceEither() {
        fleet.service.setFault(Fault.of(Fault.Mode.RUN_THEN_CUT).times(1));
        assertRefused(pay(0, null, BODY), "outcome_unknown", false);
        assertEquals(1, fleet.service.executions(BODY));
    }

    @Test
    void theOutcomeIsKnownThoughTheCallerLeft() throws Exception {
        // The buyer's connection drops while the payment runs. The payment can't be taken back, so
        // it runs to its end and is recorded; the buyer comes back at the other router and sees it.
        CompletableFuture<HttpResponse<String>> first = fleet.pay(0, "pay-5", BODY, LONG);
        await().until(() -> fleet.service.executions("pay-5") == 1);
        first.cancel(true);
        await().until(() -> pay(1, "pay-5", BODY).statusCode() == 200);
        assertEquals(1, fleet.service.executions("pay-5"));
    }

    @Test
    void inAnOutageAPaymentWaitsForTheStoreAndThenRuns() {
        // The store goes down and comes back within the payment's deadline. The caller sees a slow
        // answer and no refusal.
        fleet.store.setFault(Fault.of(Fault.Mode.DOWN));
        CompletableFuture<HttpResponse<String>> waiting = fleet.pay(0, "pay-6", BODY, LONG);
        HttpResponse<String> short1 = fleet.pay(1, "pay-7", BODY, 1).join();
        assertRefused(short1, "store_unavailable", false);
        assertTrue(short1.headers().firstValue("Retry-After").isPresent());
        assertEquals(0, fleet.service.executions("pay-6") + fleet.service.executions("pay-7"));
        fleet.store.setFault(Fault.NONE);
        assertEquals(200, waiting.join().statusCode());
        assertEquals(1, fleet.service.executions("pay-6"));
    }

    @Test
    void aLostAnswerOfTheClaimsOwnWriteStillRunsThePaymentOnce() {
        // The store takes the claim and its answer is lost. The router writes it again, finds its
        // own claim, and goes on; taken for another's, the payment would never run.
        fleet.store.setFault(Fault.of(Fault.Mode.LOSE_ANSWERS).times(2));
        assertEquals(200, pay(0, "pay-8", BODY).statusCode());
        assertEquals(200, pay(1, "pay-8", BODY).statusCode());
        assertEquals(1, fleet.service.executions("pay-8"));
    }

    @Test
    void anAnswerThatIsRecordedInAnOutageIsStillGivenToRepeats() {
        // The store goes down after the claim and before the answer is written down. The first
        // caller has the answer; a repeat after the outage finds the claim, and asks its agent.
        CompletableFuture<HttpResponse<String>> first = fleet.pay(0, "pay-9", BODY, LONG);
        await().until(() -> fleet.service.executions("pay-9") == 1);
        fleet.store.setFault(Fault.of(Fault.Mode.DOWN));
        assertEquals(200, first.join().statusCode());
        fleet.store.setFault(Fault.NONE);
        assertEquals(200, pay(1, "pay-9", BODY).statusCode());
        assertEquals(1, fleet.service.executions("pay-9"));
    }

    private HttpResponse<String> pay(int router, String key, String body) {
        return fleet.pay(router, key, body, LONG).join();
    }

    private static void assertRefused(HttpResponse<String> answer, String code, boolean notRun) {
        assertTrue(answer.body().contains("\"" + code + "\""), answer.body());
        assertTrue(answer.body().contains("\"not_run\":" + notRun), answer.body());
    }
}
