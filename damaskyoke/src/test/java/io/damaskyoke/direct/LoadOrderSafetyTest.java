package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadOrderSafetyTest {
    /** More seeds can be run by hand: -Dorders.first=1000 -Dorders.count=20000. */
    private static final long FIRST = Long.getLong("orders.first", 1);

    private static final int SEEDS = Integer.getInteger("orders.count", 300);
    private static final int MAX_SHOWN = 2;

    // Guards against orders that are carried out late, in a state that they were not planned for.
    @Test
    void noUpstreamIsOrderedToHoldMoreThanItsCapacity() {
        assertNoOverload(OrderFaults::new);
    }

    // Guards against a router that starts again, leads, and knows no order of its earlier life that
    // may still be carried out.
    @Test
    void noUpstreamIsOverloadedThoughRoutersStartAgain() {
        assertNoOverload(OrderFaults::withRouterRestarts);
    }

    // Guards against sizes that are read once, or forgotten with the configuration that stated them
    // while upstreams hold models that were loaded then.
    @Test
    void noUpstreamIsOverloadedThoughModelsChangeTheirSizes() {
        assertNoOverload(OrderFaults::withConfigurations);
    }

    // Guards against the fault that each of these seeds has shown.
    @ParameterizedTest
    @CsvSource({
        "68, an order from before a restart was carried out after it",
        "135, an order with a later sequence was carried out once another had brought the"
                + " upstream to it",
        "460, a new leader did not know the unanswered orders of the one before",
        "3275, unanswered orders of two incarnations were carried out by a third one"
    })
    void seedsThatOnceOverloadedAnUpstreamNoLongerDo(long seed, String cause) {
        assertEquals(List.of(), overloadsWithSeed(seed, true), cause);
    }

    // Guards against a simulation that finds no faults: without the check of the sequence of
    // accepted orders, late orders overload upstreams at once.
    @Test
    void upstreamsThatDoNotCheckSequencesAreOverloaded() {
        int overloads = 0;
        for (long seed = FIRST; seed < FIRST + SEEDS; seed++) {
            overloads += overloadsWithSeed(seed, false).size();
        }
        assertTrue(overloads > 0, "no upstream was overloaded");
    }

    private static void assertNoOverload(BiFunction<OrderSimulation, Long, OrderFaults> faults) {
        List<String> overloads = new ArrayList<>();
        for (long seed = FIRST; seed < FIRST + SEEDS; seed++) {
            overloads.addAll(overloadsWithSeed(seed, true, faults));
        }
        String first =
                String.join("; ", overloads.subList(0, Math.min(MAX_SHOWN, overloads.size())));
        assertEquals("", first, overloads.size() + " in all");
    }

    private static List<String> overloadsWithSeed(long seed, boolean checksSequences) {
        return overloadsWithSeed(seed, checksSequences, OrderFaults::new);
    }

    private static List<String> overloadsWithSeed(
            long seed,
            boolean checksSequences,
            BiFunction<OrderSimulation, Long, OrderFaults> faults) {
        OrderSimulation simulation = new OrderSimulation(seed, checksSequences);
        faults.apply(simulation, seed).play();
        return simulation.overloads().isEmpty()
                ? List.of()
                : List.of("seed " + seed + ": " + String.join("\n", simulation.events()) + '\n');
    }
}
