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
    private static final double START = 10;
    private static final VmId DEAD = vm(0);
    private static final List<VmId> ALL =
            IntStream.range(0, UPSTREAMS).mapToObj(RetryBudgetTest::vm).toList();

    private final Map<VmId, Integer> taken = new HashMap<>();
    private int triesOfTheRest;

    // One of five upstreams is dead, and the others have 5 % to spare: a fifth of the requests has
    // nowhere to go. Each refusal for overload makes a further try elsewhere, so that the rest get
    // half as many tries again as there are requests, just when they have no room.
    @Test
    void withoutABudgetTheRestGetManyTimesTheirLoad() {
        double factor = loadOfTheRest(() -> RetryBudget.of(RATIO));
        assertTrue(factor > 1.5, () -> "load factor " + factor);
    }

    // The same with one budget for all requests: no more than the ratio comes on top.
    @Test
    void withABudgetTheLoadOfTheRestGrowsByTheRatioAtMost() {
        RetryBudget budget = RetryBudget.of(RATIO);
        double factor = loadOfTheRest(() -> budget);
        double requests = REQUESTS_PER_SECOND * SECONDS;
        double most = (requests * (1 + RATIO) + START) / (requests * (UPSTREAMS - 1) / UPSTREAMS);
        assertTrue(factor <= most, () -> "load factor " + factor);
    }

    // A roll-out stops agents one after the other; each says "not run, I am stopping" to what was
    // on its way to it. Nothing ran, so sending it on adds no load; were it charged, the budget
    // would be used up by a planned stop, and callers be refused though other agents are idle.
    @Test
    void whatAStoppingAgentTurnsAwayIsSentOnWithoutCost() {
        RetryBudget budget = RetryBudget.of(0);
        while (budget.takeRetry()) {
            continue;
        }
        List<VmId> both = List.of(vm(0), vm(1));
        RequestMachine request = machine(both, budget);
        request.on(new RequestInput.Start(), Instant.EPOCH);
        List<RequestAction> actions = refuse(request, vm(0), RefusalCode.STOPPING);
        assertEquals(new RequestAction.Send(vm(1)), actions.get(actions.size() - 1));
    }

    // An agent that says so for ever would cost each request a free try; left out for a while, it
    // costs one only to those that were on their way.
    @Test
    void anAgentThatStopsIsLeftOut() {
        RequestMachine request = machine(ALL, RetryBudget.of(RATIO));
        request.on(new RequestInput.Start(), Instant.EPOCH);
        RequestAction first = refuse(request, vm(0), RefusalCode.STOPPING).get(0);
        assertEquals(vm(0), ((RequestAction.Suspend) first).vm());
    }

    private double loadOfTheRest(Supplier<RetryBudget> budgets) {
        Random random = new Random(31);
        for (int second = 0; second < SECONDS; second++) {
            taken.clear();
            for (int i = 0; i < REQUESTS_PER_SECOND; i++) {
                List<VmId> order = new ArrayList<>(ALL);
                Collections.shuffle(order, random);
                serve(machine(order, budgets.get()));
            }
        }
        double normal = (double) REQUESTS_PER_SECOND * SECONDS * (UPSTREAMS - 1) / UPSTREAMS;
        return triesOfTheRest / normal;
    }

    private void serve(RequestMachine request) {
        request.on(new RequestInput.Start(), Instant.EPOCH);
        while (!request.answered()) {
            VmId vm = request.current().orElseThrow();
            triesOfTheRest += vm.equals(DEAD) ? 0 : 1;
            if (vm.equals(DEAD)) {
                request.on(new RequestInput.Lost(vm), Instant.EPOCH);
            } else if (taken.merge(vm, 1, Integer::sum) > CAPACITY) {
                refuse(request, vm, RefusalCode.OVERLOADED);
            } else {
                request.on(new RequestInput.Served(vm), Instant.EPOCH);
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
        return request.on(new RequestInput.Refused(vm, refusal), Instant.EPOCH);
    }

    private static VmId vm(int number) {
        return VmId.of("agent-" + number);
    }
}
