package io.damaskyoke.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ClaimPropertyTest {
    @Property(seed = "21", tries = 300)
    void noPaymentRunsTwiceAndNoRefusalWronglySaysNotRun(@ForAll long seed) {
        // Callers repeat four keys forty times at three routers and two agents while the store, the
        // routers, the agents, the links and the callers fail. Each key must run at most once, a
        // refusal must say "not run" only of a key that has not run, and all answers to a key must
        // be the same.
        ClaimSimulation simulation = new ClaimSimulation(seed, false);
        simulation.run();
        assertEquals(List.of(), simulation.violations);
    }

    @Property(seed = "21", tries = 20)
    void withoutClaimsSomePaymentsRunTwice(@ForAll long seed) {
        // Shows that the schedules can find the fault: a router that resends a request when its
        // link breaks, without claims, runs some payments twice.
        ClaimSimulation naive = new ClaimSimulation(seed, true);
        naive.run();
        assertTrue(naive.executions.values().stream().anyMatch(times -> times > 1));
    }

    @Test
    void moreThanHalfOfTheRequestsAreServed() {
        // Guards against routers that keep the rules above by refusing everything: over 100 seeds,
        // more than half of the requests must be served.
        Map<String, Integer> answers = new TreeMap<>();
        for (int seed = 0; seed < 100; seed++) {
            ClaimSimulation simulation = new ClaimSimulation(seed, false);
            simulation.run();
            simulation.answers.forEach(
                    (answer, times) -> answers.merge(answer, times, Integer::sum));
        }
        int all = answers.values().stream().mapToInt(times -> times).sum();
        assertTrue(answers.get("served") > all / 2, answers.toString());
    }
}
