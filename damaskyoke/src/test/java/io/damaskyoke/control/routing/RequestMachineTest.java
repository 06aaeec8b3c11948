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
    private static final RequestMachine.AgentSelector BOTH =
            (tried, now) ->
                    List.of(ONE, TWO).stream().filter(vm -> !tried.contains(vm)).findFirst();

    @Test
    void aRequestThatWasNotSentGoesToTheNextAgent() {
        RequestMachine request = started(false, BOTH);
        List<RequestAction> actions = request.on(new RequestInput.NotSent(ONE), NOW);
        assertEquals(new RequestAction.Send(TWO), actions.get(1));
    }

    // The agent crashes after the payment was sent to it and before it answers. It may have passed
    // the payment to its upstream, so no other agent may get it.
    @Test
    void aPaymentWhoseAgentCrashedIsNotSentAgain() {
        RequestMachine request = started(false, BOTH);
        Refusal refusal = refusalIn(request.on(new RequestInput.ConnectionLost(ONE), NOW));
        assertEquals(RefusalCode.OUTCOME_UNKNOWN, refusal.code());
        assertEquals(false, refusal.notRun());
    }

    @Test
    void anIdempotentRequestWhoseAgentCrashedIsSentAgain() {
        RequestMachine request = started(true, BOTH);
        List<RequestAction> actions = request.on(new RequestInput.ConnectionLost(ONE), NOW);
        assertEquals(new RequestAction.Send(TWO), actions.get(1));
    }

    // The connection to the first agent breaks, so that agent may have run the request. The second
    // agent's "not run" is true of itself only and must not reach the caller.
    @Test
    void aRefusalAfterALostAttemptIsNotReportedAsNotRun() {
        RequestMachine request = started(true, BOTH);
        request.on(new RequestInput.ConnectionLost(ONE), NOW);
        Refusal busy = Refusal.notRun(RefusalCode.OVERLOADED, "busy");
        Refusal refusal = refusalIn(request.on(new RequestInput.AgentRefused(TWO, busy), NOW));
        assertEquals(RefusalCode.OVERLOADED, refusal.code());
        assertEquals(false, refusal.notRun());
    }

    @Test
    void aLateAnswerOfAnEarlierAgentIsIgnored() {
        RequestMachine request = started(true, BOTH);
        request.on(new RequestInput.NotSent(ONE), NOW);
        assertEquals(List.of(), request.on(new RequestInput.AnswerStarted(ONE), NOW));
        List<RequestAction> actions = request.on(new RequestInput.AnswerStarted(TWO), NOW);
        assertEquals(List.of(new RequestAction.DeliverAnswer(TWO)), actions);
    }

    @Test
    void inputsAfterTheAnswerCauseNoSecondAnswer() {
        RequestMachine request = started(true, BOTH);
        request.on(new RequestInput.DeadlinePassed(), NOW);
        assertTrue(request.isAnswered());
        assertEquals(List.of(), request.on(new RequestInput.AnswerStarted(ONE), NOW));
        assertEquals(List.of(), request.on(new RequestInput.DeadlinePassed(), NOW));
    }

    // All agents of the pool are down. Without a budget each request would be tried at every agent.
    @Test
    void noRetryIsMadeWhenTheBudgetIsUsedUp() {
        RetryBudget budget = RetryBudget.of(0);
        while (budget.takeRetry()) {
            continue;
        }
        RequestMachine request = RequestMachine.of(true, BOTH, budget);
        request.on(new RequestInput.Admitted(), NOW);
        Refusal refusal = refusalIn(request.on(new RequestInput.NotSent(ONE), NOW));
        assertEquals(RefusalCode.NO_UPSTREAM, refusal.code());
        assertTrue(refusal.notRun());
        assertTrue(refusal.retryAfter().isPresent());
    }

    // The first agent refused the request without running it. The claim names the agent that is
    // asked for the outcome, so it must move before the request is sent to the second agent.
    @Test
    void theClaimMovesBeforeThePaymentGoesToAnotherAgent() {
        RequestMachine request = claimed();
        Refusal busy = Refusal.notRun(RefusalCode.OVERLOADED, "busy");
        assertEquals(
                List.of(new RequestAction.ClaimKey(TWO)),
                request.on(new RequestInput.AgentRefused(ONE, busy), NOW));
        assertEquals(
                List.of(new RequestAction.Send(TWO)),
                request.on(new RequestInput.KeyClaimed(TWO), NOW));
    }

    // If the claim were not released before the refusal, repeats with the key would be refused as
    // "outcome unknown" for a day.
    @Test
    void aClaimedPaymentThatDidNotRunReleasesItsClaimFirst() {
        RequestMachine request = claimed();
        assertEquals(List.of(new RequestAction.ReleaseClaim()), refusedByTheAgent(request));
        List<RequestAction> actions = request.on(new RequestInput.ClaimReleaseFinished(true), NOW);
        assertEquals(true, refusalIn(actions).notRun());
    }

    // While the agent's refusal is in transit, a repeat at another router takes over the claim and
    // runs. The release then fails, and the caller must not be told "not run".
    @Test
    void aPaymentWhoseClaimWasTakenOverIsNotReportedAsNotRun() {
        RequestMachine request = claimed();
        refusedByTheAgent(request);
        List<RequestAction> actions = request.on(new RequestInput.ClaimReleaseFinished(false), NOW);
        assertEquals(false, refusalIn(actions).notRun());
    }

    // The store is unavailable, so the release is not confirmed. The caller still gets its answer
    // by the deadline, without "not run".
    @Test
    void aSlowReleaseDoesNotDelayTheAnswerPastTheDeadline() {
        RequestMachine request = claimed();
        refusedByTheAgent(request);
        List<RequestAction> actions = request.on(new RequestInput.DeadlinePassed(), NOW);
        assertEquals(false, refusalIn(actions).notRun());
        assertEquals(List.of(), request.on(new RequestInput.ClaimReleaseFinished(true), NOW));
    }

    // The store is unavailable, so a request with the same key may have run through another router.
    // "Not run" would be true of this attempt only, and the caller would pay again under another
    // key.
    @Test
    void aPaymentThatCouldNotBeClaimedIsNotReportedAsNotRun() {
        RequestMachine request = RequestMachine.withIdempotencyKey(BOTH, RetryBudget.of(0.2));
        request.on(new RequestInput.Admitted(), NOW);
        assertEquals(false, refusalIn(request.on(new RequestInput.DeadlinePassed(), NOW)).notRun());
        assertEquals(
                List.of(new RequestAction.ReleaseClaim()),
                request.on(new RequestInput.KeyClaimed(ONE), NOW));
    }

    // A payment is repeated while its pool has no agent, so its key can't be claimed. The key must
    // still be looked up before the request is refused.
    @Test
    void aRepeatWithoutAnyAgentGetsTheRecordedAnswer() {
        RequestMachine request =
                RequestMachine.withIdempotencyKey((tried, now) -> Optional.empty(), BUDGET);
        assertEquals(
                List.of(new RequestAction.LookUpKey()),
                request.on(new RequestInput.Admitted(), NOW));
        assertEquals(
                List.of(new RequestAction.ReplayAnswer()),
                request.on(new RequestInput.RecordedAnswerFound(), NOW));
    }

    // The lookup finds nothing, but it does not claim the key: an earlier attempt may still claim
    // it a moment later, so the caller is asked to retry and not told "not run".
    @Test
    void anUnknownKeyWithoutAnyAgentIsRefusedButNotReportedAsNotRun() {
        RequestMachine request =
                RequestMachine.withIdempotencyKey((tried, now) -> Optional.empty(), BUDGET);
        request.on(new RequestInput.Admitted(), NOW);
        Refusal refusal = refusalIn(request.on(new RequestInput.KeyNotFound(), NOW));
        assertEquals(RefusalCode.NO_UPSTREAM, refusal.code());
        assertEquals(false, refusal.notRun());
        assertTrue(refusal.retryAfter().isPresent());
    }

    @Test
    void anAgentThatReturnsDuringTheLookupGetsThePayment() {
        List<VmId> agents = new ArrayList<>();
        RequestMachine request =
                RequestMachine.withIdempotencyKey(
                        (tried, now) -> agents.stream().findFirst(), BUDGET);
        request.on(new RequestInput.Admitted(), NOW);
        agents.add(ONE);
        assertEquals(
                List.of(new RequestAction.ClaimKey(ONE)),
                request.on(new RequestInput.KeyNotFound(), NOW));
    }

    // The caller disconnects while the payment runs. The payment is not cancelled, so that its
    // answer is recorded for a repeat; if the agent later reports "not run", the claim is released.
    @Test
    void aClaimedPaymentContinuesWhenItsCallerDisconnects() {
        RequestMachine request = claimed();
        List<RequestAction> actions = request.on(new RequestInput.CallerDisconnected(), NOW);
        assertEquals(1, actions.size());
        assertEquals(false, refusalIn(actions).notRun());
        Refusal late = Refusal.notRun(RefusalCode.DEADLINE_UNREACHABLE, "too late");
        assertEquals(
                List.of(new RequestAction.ReleaseClaim()),
                request.on(new RequestInput.AgentRefused(ONE, late), NOW));
    }

    @Test
    void withoutAnyAgentTheRefusalSaysWhenToRetry() {
        RequestMachine request =
                RequestMachine.of(true, (tried, now) -> Optional.empty(), RetryBudget.of(0.2));
        Refusal refusal = refusalIn(request.on(new RequestInput.Admitted(), NOW));
        assertEquals(RefusalCode.NO_UPSTREAM, refusal.code());
        assertTrue(refusal.retryAfter().isPresent());
    }

    private static RequestMachine started(boolean idempotent, RequestMachine.AgentSelector choice) {
        RequestMachine request = RequestMachine.of(idempotent, choice, RetryBudget.of(0.2));
        assertEquals(
                List.of(new RequestAction.Send(ONE)), request.on(new RequestInput.Admitted(), NOW));
        return request;
    }

    private static RequestMachine claimed() {
        RequestMachine request = RequestMachine.withIdempotencyKey(BOTH, RetryBudget.of(0.2));
        assertEquals(
                List.of(new RequestAction.ClaimKey(ONE)),
                request.on(new RequestInput.Admitted(), NOW));
        assertEquals(
                List.of(new RequestAction.Send(ONE)),
                request.on(new RequestInput.KeyClaimed(ONE), NOW));
        return request;
    }

    private static List<RequestAction> refusedByTheAgent(RequestMachine request) {
        Refusal no = Refusal.notRun(RefusalCode.KEY_WITHDRAWN, "withdrawn");
        return request.on(new RequestInput.AgentRefused(ONE, no), NOW);
    }

    private static Refusal refusalIn(List<RequestAction> actions) {
        RequestAction last = actions.get(actions.size() - 1);
        return assertInstanceOf(RequestAction.Refuse.class, last).refusal();
    }
}
