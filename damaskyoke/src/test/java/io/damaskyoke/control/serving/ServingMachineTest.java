package io.damaskyoke.control.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ServingMachineTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final Instant DEADLINE = NOW.plusSeconds(10);
    private static final ModelName MODEL = ModelName.of("cut-sheet");
    private static final Refusal NO_LOAD = Refusal.notRun(RefusalCode.LOAD_FAILED, "no load");

    private final ServingMachine agent = ServingMachine.of(1, 2);

    @Test
    void aRequestForAColdModelWaitsUntilItIsReady() {
        List<ServingAction> actions = agent.on(arrival(1, Optional.of(MODEL)), NOW);
        assertEquals(
                List.of(new ServingAction.AcquireModel(id(1), MODEL, workspace(), DEADLINE)),
                actions);
        actions = agent.on(new ServingInput.ModelReady(id(1)), NOW);
        assertEquals(List.of(new ServingAction.Run(id(1))), actions);
        actions = agent.on(new ServingInput.RunFinished(id(1)), NOW);
        assertEquals(List.of(new ServingAction.ReleaseModel(MODEL)), actions);
    }

    @Test
    void atMostMaxRunningRequestsAreAtTheUpstream() {
        agent.on(arrival(1, Optional.empty()), NOW);
        assertEquals(List.of(), agent.on(arrival(2, Optional.empty()), NOW));
        List<ServingAction> actions = agent.on(new ServingInput.RunFinished(id(1)), NOW);
        assertEquals(List.of(new ServingAction.Run(id(2))), actions);
    }

    @Test
    void aFailedLoadRefusesTheRequestThatWaitsForIt() {
        agent.on(arrival(1, Optional.of(MODEL)), NOW);
        List<ServingAction> actions =
                agent.on(new ServingInput.ModelUnavailable(id(1), NO_LOAD), NOW);
        assertEquals(List.of(new ServingAction.Refuse(id(1), NO_LOAD)), actions);
        assertEquals(0, agent.waiting());
    }

    @Test
    void aQueuedRequestPastItsDeadlineIsRefusedAsNotRun() {
        agent.on(arrival(1, Optional.of(MODEL)), NOW);
        List<ServingAction> actions = agent.on(new ServingInput.Tick(), DEADLINE);
        assertEquals(new ServingAction.CancelAcquire(id(1), MODEL), actions.get(0));
        Refusal refusal = ((ServingAction.Refuse) actions.get(1)).refusal();
        assertEquals(RefusalCode.DEADLINE_EXCEEDED, refusal.code());
        assertTrue(refusal.notRun());
    }

    @Test
    void aDrainingAgentFinishesItsRequestsAndRefusesNewOnes() {
        agent.on(arrival(1, Optional.empty()), NOW);
        agent.on(new ServingInput.DrainStarted(), NOW);
        List<ServingAction> actions = agent.on(arrival(2, Optional.empty()), NOW);
        Refusal refusal = ((ServingAction.Refuse) actions.get(0)).refusal();
        assertEquals(RefusalCode.STOPPING, refusal.code());
        assertTrue(!agent.isDrained());
        agent.on(new ServingInput.RunFinished(id(1)), NOW);
        assertTrue(agent.isDrained());
    }

    private static ServingInput.RequestArrived arrival(long number, Optional<ModelName> model) {
        return new ServingInput.RequestArrived(id(number), workspace(), model, DEADLINE);
    }

    private static WorkspaceId workspace() {
        return WorkspaceId.of("kitchens");
    }

    private static ExchangeId id(long number) {
        return new ExchangeId(Incarnation.of("router-1:1"), number);
    }
}
