package io.damaskyoke.control.loads;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests configurations that add, remove or resize models while an upstream holds some. */
class ChangedModelsTest {
    private static final UpstreamId ONE = UpstreamId.of("one");
    private static final Map<String, Integer> SMALL = Map.of("a", 40, "b", 40, "c", 20);

    private final LoadPlanner planner = new LoadPlanner(LoadSettings.defaults());
    private final List<LoadAction.SendOrder> sent = new ArrayList<>();
    private HeldModels held;
    private Instant now = Instant.ofEpochSecond(100);

    // Guards against a model that is never loaded, as it counts as large as the whole memory.
    @Test
    void aModelThatALaterConfigurationAddsIsLoadedWhereThereIsRoom() {
        start(Map.of("a", 40, "b", 40), "a", "b");
        configure(SMALL);
        assertEquals(List.of("LOAD c 0"), ordersFor("c"));
        answer(OrderOutcome.ACCEPTED);
        holds(1, "a", "b", "c");
        assertEquals(List.of(), ordersFor("c"));
    }

    // Guards against an upstream that is ordered beyond its memory, as a size is read only once.
    @Test
    void aModelThatALaterConfigurationEnlargesIsNotLoadedBeyondTheRoom() {
        start(SMALL, "a", "b");
        configure(Map.of("a", 40, "b", 40, "c", 30));
        assertEquals(List.of(), ordersFor("c"));
    }

    // Guards against room that isn't there: a later configuration shrinks nothing that is held.
    @Test
    void whatIsHeldKeepsItsSizeWhenALaterConfigurationMakesItSmaller() {
        start(Map.of("a", 40, "b", 40, "c", 30), "a", "b");
        configure(Map.of("a", 10, "b", 10, "c", 30));
        assertEquals(List.of(), ordersFor("c"));
    }

    // Guards against the same at a router that knows only the newest configuration.
    @Test
    void whatIsHeldMayHaveTheSizeOfAnEarlierConfigurationThatWasRecorded() {
        planner.on(
                new LoadInput.SizesRecorded(Map.of("engines", Map.of("a", new ModelSize(40, 1)))),
                now);
        start(Map.of("a", 10, "b", 40, "c", 30), "a", "b");
        assertEquals(List.of(), ordersFor("c"));
    }

    // Guards against room that stays unused: what is loaded next has the newest size.
    @Test
    void whatIsLoadedNextTakesTheNewestSize() {
        start(Map.of("a", 40, "b", 40, "c", 30), "a");
        configure(Map.of("a", 40, "b", 30, "c", 30));
        assertEquals(List.of("LOAD b 0"), ordersFor("b"));
        answer(OrderOutcome.ACCEPTED);
        holds(1, "a", "b");
        assertEquals(List.of("LOAD c 1"), ordersFor("c"));
    }

    // Guards against a load that was ordered at one size and begins at another.
    @Test
    void aLoadOnItsWayMayTakeTheLargerOfTwoSizes() {
        start(Map.of("a", 40, "b", 20, "c", 30), "a");
        assertEquals(List.of("LOAD b 0"), ordersFor("b"));
        configure(Map.of("a", 40, "b", 35, "c", 30));
        answer(OrderOutcome.ACCEPTED);
        configure(Map.of("a", 40, "b", 20, "c", 30));
        holds(1, "a", "b");
        assertEquals(List.of(), ordersFor("c"));
    }

    // Guards against an answer that ends in an exception, so that the order stays pending.
    @Test
    void anOrderIsFinishedThoughItsModelIsConfiguredNoMore() {
        start(Map.of("a", 40, "c", 20), "a");
        assertEquals(List.of("LOAD c 0"), ordersFor("c"));
        configure(Map.of("a", 40, "d", 20));
        answer(OrderOutcome.ACCEPTED);
        holds(1, "a", "c");
        assertEquals(List.of("LOAD d 1"), ordersFor("d"));
    }

    private void start(Map<String, Integer> sizes, String... models) {
        held = held(0, models);
        configure(sizes);
        planner.on(new LoadInput.Elected(), now);
        report(true);
    }

    // As the coordinator does: the list is gone through again after each configuration.
    private void configure(Map<String, Integer> sizes) {
        Map<String, ModelSpec> models = new HashMap<>();
        Duration time = Duration.ofMillis(10);
        sizes.forEach((name, mb) -> models.put(name, new ModelSpec(name, mb, time, time, time, 1)));
        EngineSpec spec = new EngineSpec(4, 1_000, 100, 8, 50, models);
        planner.on(new LoadInput.ServicesConfigured(Map.of("engines", spec)), now);
        planner.on(new LoadInput.UpstreamListed(facts()), now);
    }

    /** Returns the orders that follow when requests wait for a model, and all others are busy. */
    private List<String> ordersFor(String model) {
        int before = sent.size();
        report(false);
        Map<ModelRef, Integer> running = new HashMap<>();
        List<LoadInput.ModelDemand> demands = new ArrayList<>();
        demands.add(demand(model, 1));
        for (String each : held.adapters().keySet()) {
            if (!each.equals("c")) {
                running.put(ModelRef.parse(each), 2);
                demands.add(demand(each, 0));
            }
        }
        planner.on(
                        new LoadInput.DemandReported(
                                VmId.of("router-1"), demands, Map.of(ONE, running), Set.of()),
                        now)
                .forEach(this::record);
        now = now.plusMillis(300);
        planner.on(new LoadInput.Tick(), now).forEach(this::record);
        return sent.subList(before, sent.size()).stream()
                .map(order -> order.operation() + " " + order.model() + " " + order.sequence())
                .toList();
    }

    private static LoadInput.ModelDemand demand(String model, int waiting) {
        return new LoadInput.ModelDemand(
                ModelRef.parse(model), waiting, Duration.ofMillis(10), 1, 5);
    }

    private void record(LoadAction action) {
        if (action instanceof LoadAction.SendOrder order) {
            sent.add(order);
        }
    }

    private void answer(OrderOutcome outcome) {
        long number = sent.get(sent.size() - 1).number();
        planner.on(new LoadInput.OrderAnswered(ONE, number, outcome), now).forEach(this::record);
    }

    private void holds(long sequence, String... models) {
        held = held(sequence, models);
    }

    private void report(boolean busy) {
        now = now.plusMillis(200);
        planner.on(new LoadInput.UpstreamReported(ONE, busy, held, Set.of(), Set.of()), now)
                .forEach(this::record);
    }

    private UpstreamFacts facts() {
        return new UpstreamFacts(
                ONE,
                1,
                "engines",
                new Endpoint("127.0.0.1", 1),
                "a",
                4,
                false,
                Duration.ZERO,
                held,
                Set.of(),
                Set.of("a", "b", "c", "d"));
    }

    private static HeldModels held(long sequence, String... models) {
        Map<String, Set<String>> adapters = new TreeMap<>();
        List.of(models).forEach(model -> adapters.put(model, new HashSet<>()));
        return new HeldModels(1, sequence, adapters);
    }
}
