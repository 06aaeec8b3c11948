package io.damaskyoke.standins;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ServiceStandInTest {
    private final ServiceStandIn service =
            ServiceStandIn.start(0, Duration.ZERO, new ManualClock());
    private final Client client = new Client(service.url());

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void bodyComesBackWithTheNumberOfExecutions() {
        HttpResponse<String> first = pay("one");
        assertEquals("pay 5", first.body());
        assertEquals("1", first.headers().firstValue("x-executions").orElseThrow());
        assertEquals("2", pay("one").headers().firstValue("x-executions").orElseThrow());
        assertEquals("1", pay("two").headers().firstValue("x-executions").orElseThrow());
        assertEquals(2, client.read("/counts").get("highest").intValue());
        HttpResponse<String> bare = client.call("GET", "/slabs", "");
        assertEquals(
                "text/plain; charset=UTF-8",
                bare.headers().firstValue("content-type").orElseThrow());
        HttpResponse<String> typed =
                client.call("PUT", "/slabs", "{}", "Content-Type", "application/json");
        assertEquals("application/json", typed.headers().firstValue("content-type").orElseThrow());
    }

    @Test
    void cutAfterTheRunIsRecorded() {
        service.setFault(Fault.of(Fault.Mode.RUN_THEN_CUT).times(1));
        assertThrows(UncheckedIOException.class, () -> pay("one"));
        assertEquals(1, service.executions("one"));
        CallLog.Entry entry = service.log().entries().get(0);
        assertTrue(entry.ranToEnd());
        assertEquals("one", entry.headers().get("idempotency-key"));
        assertFalse(entry.headers().containsKey("timeout-access"));
        assertEquals(200, pay("two").statusCode());
    }

    @Test
    void cutBeforeTheRunLeavesNoTrace() {
        service.setFault(Fault.of(Fault.Mode.CUT_BEFORE_RUN).times(1));
        assertThrows(UncheckedIOException.class, () -> pay("one"));
        assertEquals(0, service.executions("one"));
        assertTrue(service.log().entries().isEmpty());
    }

    @Test
    void slowAnswerComesAfterTheRun() {
        service.setFault(Fault.slow(Duration.ofHours(1)));
        var late = client.later("/pay", "pay 5");
        await().until(() -> service.executions("pay 5") == 1);
        assertFalse(late.isDone());
    }

    private HttpResponse<String> pay(String key) {
        return client.call("POST", "/pay", "pay 5", "Idempotency-Key", key);
    }
}
