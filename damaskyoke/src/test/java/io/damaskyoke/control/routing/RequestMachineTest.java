package io.damaskyoke.control.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.VmId;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RequestMachineTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final VmId ONE = VmId.of("agent-1");
    private static final VmId TWO = VmId.of("agent-2");
    private static final RequestMachine.AgentChoice BOTH =
            (tried, now) ->
                    List.of(ONE, TWO).stream().filter(vm -> !tried.contains(vm)).findFirst();

    @Test
    void aRequestThatDidNotLeaveGoesToTheNextAgent() {
        RequestMachine request = started(false, BOTH);
        List<RequestAction> actions = request.on(new RequestInput.NotSent(ONE), NOW);
        assertEquals(new RequestAction.Send(TWO), actions.get(1));
    }

    // The caller of a payment sees "outcome unknown". The frame left, the agent died before it
    // answered. It may have handed the payment over, so no other agent may get it.
    @Test
    void aPaymentWhoseAgentDiedIsNotSentAgain() {
        RequestMachine request = started(false, BOTH);
        Refusal refusal = refusalIn(request.on(new RequestInput.Lost(ONE), NOW));
        assertEquals(RefusalCode.OUTCOME_UNKNOWN, refusal.code());
        assertEquals(false, refusal.notRun());
    }

    @Test
    void aLookupWhoseAgentDiedIsSentAgain() {
        RequestMachine request = started(true, BOTH);
        List<RequestAction> actions = request.on(new RequestInput.Lost(ONE), NOW);
        assertEquals(new RequestAction.Send(TWO), actions.get(1));
    }

    // The caller sees a refusal that does not claim "not run". The first agent was lost with the
    // request and may have run it; the second refuses and says, of itself, that it did not.
    @Test
    void aSecondAgentsNotRunDoesNotHideWhatTheFirstMayHaveDone() {
        RequestMachine request = started(true, BOTH);
        request.on(new RequestInput.Lost(ONE), NOW);
        Refusal busy = Refusal.notRun(RefusalCode.OVERLOADED, "busy");
        Refusal refusal = refusalIn(request.on(new RequestInput.Refused(TWO, busy), NOW));
        assertEquals(RefusalCode.OVERLOADED, refusal.code());
        assertEquals(false, refusal.notRun());
    }

    @Test
    void aLateAnswerOfAnAgentThatWasGivenUpIsIgnored() {
        RequestMachine request = started(true, BOTH);
        request.on(new RequestInput.NotSent(ONE), NOW);
        assertEquals(List.of(), request.on(new RequestInput.Served(ONE), NOW));
        List<RequestAction> actions = request.on(new RequestInput.Served(TWO), NOW);
        assertEquals(List.of(new RequestAction.Deliver(TWO)), actions);
    }

    @Test
    void thereIsOneAnswerWhateverComesAfterIt() {
        RequestMachine request = started(true, BOTH);
        request.on(new RequestInput.DeadlinePassed(), NOW);
        assertTrue(request.answered());
        assertEquals(List.of(), request.on(new RequestInput.Served(ONE), NOW));
        assertEquals(List.of(), request.on(new RequestInput.DeadlinePassed(), NOW));
    }

    // The caller sees "no upstream" at once. All agents of the pool are dead; without a budget each
    // request would be tried at each of them.
    @Test
    void retriesStopWhenTheBudgetIsUsedUp() {
        RetryBudget budget = RetryBudget.of(0);
        while (budget.takeRetry()) {
            continue;
        }
        RequestMachine request = RequestMachine.of(true, BOTH, budget);
        request.on(new RequestInput.Start(), NOW);
        Refusal refusal = refusalIn(request.on(new RequestInput.NotSent(ONE), NOW));
        assertEquals(RefusalCode.NO_UPSTREAM, refusal.code());
        assertTrue(refusal.notRun());
        assertTrue(refusal.retryAfter().isPresent());
    }

    @Test
    void withNoAgentTheCallerIsToldWhenToComeBack() {
        RequestMachine request =
                RequestMachine.of(true, (tried, now) -> Optional.empty(), RetryBudget.of(0.2));
        Refusal refusal = refusalIn(request.on(new RequestInput.Start(), NOW));
        assertEquals(RefusalCode.NO_UPSTREAM, refusal.code());
        assertTrue(refusal.retryAfter().isPresent());
    }

    private static RequestMachine started(boolean idempotent, RequestMachine.AgentChoice choice) {
        RequestMachine request = RequestMachine.of(idempotent, choice, RetryBudget.of(0.2));
        assertEquals(
                List.of(new RequestAction.Send(ONE)), request.on(new RequestInput.Start(), NOW));
        return request;
    }

    private static Refusal refusalIn(List<RequestAction> actions) {
        RequestAction last = actions.get(actions.size() - 1);
        return assertInstanceOf(RequestAction.Reply.class, last).refusal();
    }
}
