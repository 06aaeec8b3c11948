package io.damaskyoke.control.waiting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.TokenUsage;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the order of waiting requests and the forecast of their wait. */
class WaitingTest {
    private static final Instant NOW = Instant.ofEpochSecond(100);
    private static final ModelRef MODEL = ModelRef.parse("model");
    private static final Duration LOAD = Duration.ofSeconds(10);

    private final WaitForecast forecast = new WaitForecast();
    private final ArrivalRefusals refusals = new ArrivalRefusals();
    private long sequence;

    private record Request(String name, int priority, String from, long tokens, Instant sendBy)
            implements WaitingRequest {
        @Override
        public Optional<WorkspaceId> workspace() {
            return Optional.of(WorkspaceId.of(from));
        }

        @Override
        public TokenUsage tokenUsage() {
            return new TokenUsage(tokens, 0);
        }

        @Override
        public Instant onTimeSendDeadline() {
            return sendBy;
        }
    }

    // Guards against late requests, or those of a busy workspace, that go before the others.
    @Test
    void turnsGoByPriorityThenTimelinessThenWorkspaceThenDeadline() {
        TurnOrder order = TurnOrder.fair();
        WaitingQueue<Request> queue = new WaitingQueue<>(order);
        add(queue, "late", 1, "modest", 1, -1);
        add(queue, "busy-late", 1, "busy", 1, 9);
        add(queue, "busy-next", 1, "busy", 500, 8);
        add(queue, "other", 1, "modest", 400, 20);
        add(queue, "other-next", 1, "modest", 1, 30);
        add(queue, "urgent", 0, "busy", 9_000, 9);
        assertEquals("urgent busy-next other other-next busy-late late", drain(queue, order));
    }

    // Guards against a changed order of requests in deployments without rate limits.
    @Test
    void withoutRateLimitsTurnsGoByPriorityThenArrival() {
        TurnOrder order = TurnOrder.byArrival();
        WaitingQueue<Request> queue = new WaitingQueue<>(order);
        add(queue, "first", 1, "busy", 900, -1);
        add(queue, "second", 1, "busy", 1, 9);
        add(queue, "third", 1, "modest", 1, 1);
        add(queue, "urgent", 0, "modest", 1, -1);
        assertEquals("urgent first second third", drain(queue, order));
    }

    // Guards against a router that refuses by what it learned before it was frozen.
    @Test
    void aLearnedWaitCountsForFiveSeconds() {
        forecast.recordWait(MODEL, LOAD.multipliedBy(3), NOW);
        assertEquals(LOAD.multipliedBy(3), expectedWait(NOW.plusMillis(4_999)));
        assertEquals(LOAD, expectedWait(NOW.plusSeconds(5)));
    }

    // Guards against a wrong prediction that lasts because no request is left to refute it.
    @Test
    void oneRequestInEachSecondIsQueuedAllTheSame() {
        int queued = 0;
        for (int millis = 0; millis < 10_000; millis += 20) {
            queued += refusals.refuses(MODEL, LOAD, NOW.plusMillis(millis)) ? 0 : 1;
        }
        assertEquals(10, queued);
        assertFalse(refusals.refuses(ModelRef.parse("other"), LOAD, NOW));
        assertTrue(refusals.refuses(MODEL, LOAD, NOW.plusMillis(9_990)));
    }

    private Duration expectedWait(Instant now) {
        return forecast.expectedWait(MODEL, LOAD, Optional.empty(), now);
    }

    private void add(
            WaitingQueue<Request> to, String name, int priority, String from, long cost, int left) {
        Request request = new Request(name, priority, from, cost, NOW.plusSeconds(left));
        to.add(request, ++sequence, NOW);
    }

    private static String drain(WaitingQueue<Request> queue, TurnOrder order) {
        StringBuilder names = new StringBuilder();
        for (Turn<Request> turn = queue.next(NOW); turn != null; turn = queue.next(NOW)) {
            queue.remove(turn.request());
            order.recordTurn(turn.request());
            names.append(names.isEmpty() ? "" : " ").append(turn.request().name());
        }
        return names.toString();
    }
}
