package io.damaskyoke.control.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.VmId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RequestMachineTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final VmId ONE = VmId.of("agent-1");
    private static final VmId TWO = VmId.of("agent-2");
    private static final RetryBudget BUDGET = RetryBudget.of(0.2);
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

    // The caller sees an answer from the second agent. The first refused and surely did not run it;
    // the claim, which names the agent to ask about the outcome, moves before the request does.
    @Test
    void aClaimedPaymentGoesToAnotherAgentOnlyAfterItsClaimHas() {
        RequestMachine request = claimed();
        Refusal busy = Refusal.notRun(RefusalCode.OVERLOADED, "busy");
        assertEquals(
                List.of(new RequestAction.Claim(TWO)),
                request.on(new RequestInput.Refused(ONE, busy), NOW));
        assertEquals(
                List.of(new RequestAction.Send(TWO)),
                request.on(new RequestInput.Claimed(TWO), NOW));
    }

    // The caller is told "not run" and may pay another way. The claim is given back first, or a
    // repeat of the key would be told for a day that its outcome is unknown.
    @Test
    void aClaimedPaymentThatSurelyDidNotRunGivesItsClaimBack() {
        RequestMachine request = claimed();
        assertEquals(List.of(new RequestAction.Release()), refusedByTheAgent(request));
        List<RequestAction> actions = request.on(new RequestInput.Released(true), NOW);
        assertEquals(true, refusalIn(actions).notRun());
    }

    // The caller is not told "not run". The agent's refusal was on its way when a repeat at another
    // router asked the agent, took the claim over and ran; the claim can't be given back any more.
    @Test
    void aPaymentWhoseClaimWasTakenOverIsNotCalledNotRun() {
        RequestMachine request = claimed();
        refusedByTheAgent(request);
        List<RequestAction> actions = request.on(new RequestInput.Released(false), NOW);
        assertEquals(false, refusalIn(actions).notRun());
    }

    // The caller gets its answer by its deadline. The store is out, so nobody can say whether the
    // claim is given back, and "not run" is not said.
    @Test
    void aReleaseThatTakesTooLongDoesNotHoldTheAnswerBack() {
        RequestMachine request = claimed();
        refusedByTheAgent(request);
        List<RequestAction> actions = request.on(new RequestInput.DeadlinePassed(), NOW);
        assertEquals(false, refusalIn(actions).notRun());
        assertEquals(List.of(), request.on(new RequestInput.Released(true), NOW));
    }

    // The store is out, so nobody knows whether the key came before and ran at another router. "Not
    // run" would be true of this try only, and the caller would pay again under another key.
    @Test
    void aPaymentThatCouldNotBeClaimedIsNotCalledNotRun() {
        RequestMachine request = RequestMachine.keyed(BOTH, RetryBudget.of(0.2));
        request.on(new RequestInput.Start(), NOW);
        assertEquals(false, refusalIn(request.on(new RequestInput.DeadlinePassed(), NOW)).notRun());
        assertEquals(
                List.of(new RequestAction.Release()),
                request.on(new RequestInput.Claimed(ONE), NOW));
    }

    // The caller repeats a payment and sees its recorded answer. The pool's last agent is gone, so
    // there is nobody to claim the key for; it is looked up all the same before any refusal.
    @Test
    void aRepeatWithoutAnyAgentIsLookedUpAndGetsItsRecordedAnswer() {
        RequestMachine request = RequestMachine.keyed((tried, now) -> Optional.empty(), BUDGET);
        assertEquals(
                List.of(new RequestAction.LookUp()), request.on(new RequestInput.Start(), NOW));
        assertEquals(
                List.of(new RequestAction.Replay()),
                request.on(new RequestInput.AnsweredBefore(), NOW));
    }

    // The caller is told to come back with the same key. The look found nothing, but it holds
    // nothing either: an earlier try may claim the key a moment later, so "not run" is not said.
    @Test
    void anUnknownKeyWithoutAnyAgentIsRefusedButNotCalledNotRun() {
        RequestMachine request = RequestMachine.keyed((tried, now) -> Optional.empty(), BUDGET);
        request.on(new RequestInput.Start(), NOW);
        Refusal refusal = refusalIn(request.on(new RequestInput.KeyUnknown(), NOW));
        assertEquals(RefusalCode.NO_UPSTREAM, refusal.code());
        assertEquals(false, refusal.notRun());
        assertTrue(refusal.retryAfter().isPresent());
    }

    @Test
    void anAgentThatCameBackDuringTheLookGetsThePayment() {
        List<VmId> agents = new ArrayList<>();
        RequestMachine request =
                RequestMachine.keyed((tried, now) -> agents.stream().findFirst(), BUDGET);
        request.on(new RequestInput.Start(), NOW);
        agents.add(ONE);
        assertEquals(
                List.of(new RequestAction.Claim(ONE)),
                request.on(new RequestInput.KeyUnknown(), NOW));
    }

    // The buyer leaves while the payment runs. It is not cancelled, so that its answer is there
    // when the buyer comes back; if the agent then says that it never ran, the claim is given back.
    @Test
    void aClaimedPaymentGoesOnWithoutItsCaller() {
        RequestMachine request = claimed();
        List<RequestAction> actions = request.on(new RequestInput.CallerGone(), NOW);
        assertEquals(1, actions.size());
        assertEquals(false, refusalIn(actions).notRun());
        Refusal late = Refusal.notRun(RefusalCode.DEADLINE_UNREACHABLE, "too late");
        assertEquals(
                List.of(new RequestAction.Release()),
                request.on(new RequestInput.Refused(ONE, late), NOW));
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

    private static RequestMachine claimed() {
        RequestMachine request = RequestMachine.keyed(BOTH, RetryBudget.of(0.2));
        assertEquals(
                List.of(new RequestAction.Claim(ONE)), request.on(new RequestInput.Start(), NOW));
        assertEquals(
                List.of(new RequestAction.Send(ONE)),
                request.on(new RequestInput.Claimed(ONE), NOW));
        return request;
    }

    private static List<RequestAction> refusedByTheAgent(RequestMachine request) {
        Refusal no = Refusal.notRun(RefusalCode.KEY_WITHDRAWN, "withdrawn");
        return request.on(new RequestInput.Refused(ONE, no), NOW);
    }

    private static Refusal refusalIn(List<RequestAction> actions) {
        RequestAction last = actions.get(actions.size() - 1);
        return assertInstanceOf(RequestAction.Reply.class, last).refusal();
    }
}
