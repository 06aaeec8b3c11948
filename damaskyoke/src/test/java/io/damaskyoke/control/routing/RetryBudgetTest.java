package io.damaskyoke.control.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.VmId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final int UPSTREAMS = 5;
    private static final int REQUESTS_PER_SECOND = 1_000;
    private static final int CAPACITY = 210;
    private static final int SECONDS = 100;
    private static final double RATIO = 0.1;
    private static final double MAX_RETRIES = 10;
    private static final VmId DOWN = vm(0);
    private static final List<VmId> ALL =
            IntStream.range(0, UPSTREAMS).mapToObj(RetryBudgetTest::vm).toList();

    private final Map<VmId, Integer> attempts = new HashMap<>();
    private int attemptsAtTheRest;

    // One of five upstreams is down and the others have 5 % spare capacity, so about a fifth of the
    // requests can't be served. Every refusal for overload causes another attempt, so the remaining
    // upstreams get more than 1.5 times their normal attempts while they are full.
    @Test
    void withoutASharedBudgetTheRemainingUpstreamsAreOverloaded() {
        double factor = loadOfTheRest(() -> RetryBudget.of(RATIO));
        assertTrue(factor > 1.5, () -> "load factor " + factor);
    }

    // The same failure with one budget for all requests: the load grows by at most the ratio.
    @Test
    void withABudgetTheLoadOfTheRemainingUpstreamsGrowsByAtMostTheRatio() {
        RetryBudget budget = RetryBudget.of(RATIO);
        double factor = loadOfTheRest(() -> budget);
        double requests = REQUESTS_PER_SECOND * SECONDS;
        double most =
                (requests * (1 + RATIO) + MAX_RETRIES) / (requests * (UPSTREAMS - 1) / UPSTREAMS);
        assertTrue(factor <= most, () -> "load factor " + factor);
    }

    // A rollout stops agents one at a time, and each refuses the requests in transit to it as not
    // run. Retrying them adds no load. If the budget were charged, a planned stop would use it up,
    // and requests would be refused while other agents are idle.
    @Test
    void whatAStoppingAgentTurnsAwayIsSentOnWithoutCost() {
        RetryBudget budget = RetryBudget.of(0);
        while (budget.takeRetry()) {
            continue;
        }
        List<VmId> both = List.of(vm(0), vm(1));
        RequestMachine request = machine(both, budget);
        request.on(new RequestInput.Admitted(), Instant.EPOCH);
        List<RequestAction> actions = refuse(request, vm(0), RefusalCode.STOPPING);
        assertEquals(new RequestAction.Send(vm(1)), actions.get(actions.size() - 1));
    }

    // If the agent were not suspended, every request could cause a free attempt at it; suspended,
    // it only affects the requests already in transit.
    @Test
    void aStoppingAgentIsSuspended() {
        RequestMachine request = machine(ALL, RetryBudget.of(RATIO));
        request.on(new RequestInput.Admitted(), Instant.EPOCH);
        RequestAction first = refuse(request, vm(0), RefusalCode.STOPPING).get(0);
        assertEquals(vm(0), ((RequestAction.SuspendAgent) first).vm());
    }

    private double loadOfTheRest(Supplier<RetryBudget> budgets) {
        Random random = new Random(31);
        for (int second = 0; second < SECONDS; second++) {
            attempts.clear();
            for (int i = 0; i < REQUESTS_PER_SECOND; i++) {
                List<VmId> order = new ArrayList<>(ALL);
                Collections.shuffle(order, random);
                serve(machine(order, budgets.get()));
            }
        }
        double normal = (double) REQUESTS_PER_SECOND * SECONDS * (UPSTREAMS - 1) / UPSTREAMS;
        return attemptsAtTheRest / normal;
    }

    private void serve(RequestMachine request) {
        request.on(new RequestInput.Admitted(), Instant.EPOCH);
        while (!request.isAnswered()) {
            VmId vm = request.currentAgent().orElseThrow();
            attemptsAtTheRest += vm.equals(DOWN) ? 0 : 1;
            if (vm.equals(DOWN)) {
                request.on(new RequestInput.ConnectionLost(vm), Instant.EPOCH);
            } else if (attempts.merge(vm, 1, Integer::sum) > CAPACITY) {
                refuse(request, vm, RefusalCode.OVERLOADED);
            } else {
                request.on(new RequestInput.AnswerStarted(vm), Instant.EPOCH);
            }
        }
    }

    private static RequestMachine machine(List<VmId> order, RetryBudget budget) {
        return RequestMachine.of(
                true,
                (tried, now) -> order.stream().filter(vm -> !tried.contains(vm)).findFirst(),
                budget);
    }

    private static List<RequestAction> refuse(RequestMachine request, VmId vm, RefusalCode code) {
        Refusal refusal = Refusal.notRun(code, "no");
        return request.on(new RequestInput.AgentRefused(vm, refusal), Instant.EPOCH);
    }

    private static VmId vm(int number) {
        return VmId.of("agent-" + number);
    }
}
