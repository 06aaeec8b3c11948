package io.damaskyoke.control.loads;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the planner with two upstreams that hold three of eight models each, all that fits. */
class LoadPlannerTest {
    private static final VmId ROUTER = VmId.of("router-1");
    private static final UpstreamId ONE = UpstreamId.of("one");
    private static final UpstreamId TWO = UpstreamId.of("two");

    private final LoadPlanner planner = new LoadPlanner(LoadSettings.defaults());
    private final Map<UpstreamId, HeldModels> actual = new HashMap<>();
    private Instant now = Instant.ofEpochSecond(100);
    private LoadAction.SendOrder lastSent;
    private String lastOrderText = "none";
    private final List<String> sentOrders = new ArrayList<>();

    @Test
    void aModelThatRequestsWaitForIsLoadedFromDiskWhereThereIsACopy() {
        start(Set.of(), Set.of("g"));
        assertEquals(List.of("UNLOAD d two 0"), reportWaiting("g", 1));
        answer(OrderOutcome.ACCEPTED);
        report(TWO, false, held(1, "e", "f"));
        assertEquals("LOAD g two 1", lastOrderText);
    }

    @Test
    void theLeastRequestedModelIsEvicted() {
        start(Set.of("g"), Set.of());
        var demands =
                List.of(
                        modelDemand("a", 0, 1.0),
                        modelDemand("b", 0, 0.1),
                        modelDemand("c", 0, 1.0));
        demand(demands, Map.of());
        var more = new ArrayList<>(demands);
        more.add(modelDemand("g", 1, 0.2));
        assertEquals(List.of("UNLOAD b one 0"), demand(more, Map.of()));
    }

    @Test
    void aModelWithRunningRequestsIsNotEvicted() {
        start(Set.of("g"), Set.of());
        assertEquals(
                List.of("UNLOAD c one 0"),
                demand(
                        List.of(modelDemand("c", 0, 0.3), modelDemand("g", 1, 0.2)),
                        Map.of(ONE, Map.of(ref("a"), 1, ref("b"), 2))));
    }

    @Test
    void nothingIsOrderedBeforeTheUpstreamHasReported() {
        // A new leader knows from the list what upstreams hold, but not which orders of the
        // previous leader are being carried out. Orders planned from the list alone could exceed an
        // upstream's memory.
        planner.on(new LoadInput.ServicesConfigured(Map.of("engines", spec())), now);
        planner.on(new LoadInput.UpstreamListed(facts(ONE, held(0, "a"), Set.of("g"))), now);
        List<LoadAction> actions = planner.on(new LoadInput.Elected(), now);
        assertEquals(List.of(new LoadAction.RequestReport(ONE)), actions);
        assertEquals(List.of(), reportWaiting("g", 1));
    }

    @Test
    void noOrderIsSentToAnUpstreamBusyWithAnUnknownOrder() {
        // A load ordered by the previous leader is still running, and its model is not in the
        // report yet. It must count before anything else is ordered.
        start(Set.of("g"), Set.of());
        report(ONE, true, held(1, "a", "b"));
        assertEquals(List.of(), reportWaiting("g", 1));
        now = now.plusMillis(200);
        report(ONE, false, held(1, "a", "b", "c"));
        assertEquals("UNLOAD a one 1", lastOrderText);
    }

    @Test
    void anUnansweredOrderIsNotTreatedAsRefused() {
        // The answer to an unload is lost, and it may be carried out seconds later. Nothing is
        // ordered until the upstream has reported; the next order names the same number of accepted
        // orders, so the upstream accepts only one of the two.
        start(Set.of("g"), Set.of());
        assertEquals(List.of("UNLOAD a one 0"), reportWaiting("g", 1));
        answer(OrderOutcome.UNKNOWN);
        assertEquals(List.of(), tick());
        now = now.plusSeconds(1);
        report(ONE, false, held(0, "a", "b", "c"));
        assertEquals("UNLOAD a one 0", lastOrderText);
    }

    @Test
    void ordersNeverExceedAnUpstreamsMemory() {
        // Requests for all models keep arriving, models are loaded and unloaded, and every fourth
        // answer is lost, whether or not its order was carried out. No upstream may ever hold more
        // than its memory.
        start(Set.of("d", "e", "f", "g"), Set.of("a", "b", "c", "g"));
        String all = "abcdefg";
        for (int step = 0; step < 600; step++) {
            String model = all.substring(step * 5 % 7, step * 5 % 7 + 1);
            carryOut(planner.on(demanded(List.of(modelDemand(model, 1, 0.5))), now), step);
            now = now.plusMillis(150);
            for (UpstreamId id : List.of(ONE, TWO)) {
                carryOut(report(id, false, actual.get(id)), step);
                assertTrue(actual.get(id).adapters().size() <= 3, "holds " + actual.get(id));
            }
        }
        assertTrue(actual.get(ONE).sequence() > 20, "orders " + actual.get(ONE).sequence());
    }

    // Guards against a load that no report shows and that keeps its model from all other upstreams.
    @Test
    void aLoadThatNoReportShowsIsOrderedElsewhere() {
        orderLoadFromStore("g");
        assertEquals(List.of(), ordersInSeconds(12, () -> reportFailed(ONE)));
        list(TWO, held(0, "d", "e"), Set.of());
        report(TWO, false, actual.get(TWO));
        assertEquals("LOAD g two 0", lastOrderText);
    }

    // Guards against a slow load that is ordered again though reports show that it goes on.
    @Test
    void aLoadThatReportsShowIsOrderedOnce() {
        orderLoadFromStore("g");
        ordersInSeconds(30, () -> report(ONE, true, held(1, "a", "b")));
        list(TWO, held(0, "d", "e"), Set.of());
        report(TWO, false, actual.get(TWO));
        assertFalse(sentOrders.contains("LOAD g two 0"));
    }

    private void orderLoadFromStore(String model) {
        planner.on(new LoadInput.ServicesConfigured(Map.of("engines", spec())), now);
        list(ONE, held(0, "a", "b"), Set.of());
        planner.on(new LoadInput.Elected(), now);
        reportWaiting(model, 1);
        report(ONE, false, actual.get(ONE));
        assertEquals("LOAD " + model + " one 0", lastOrderText);
        answer(OrderOutcome.ACCEPTED);
    }

    private List<String> ordersInSeconds(int seconds, Runnable eachSecond) {
        List<String> orders = new ArrayList<>();
        for (int second = 0; second < seconds; second++) {
            now = now.plusSeconds(1);
            eachSecond.run();
            orders.addAll(reportWaiting("g", 1));
        }
        return orders;
    }

    private void reportFailed(UpstreamId id) {
        planner.on(new LoadInput.ReportFailed(id), now);
    }

    @Test
    void theLeastRecentlyUsedAdapterIsEvicted() {
        start(Set.of(), Set.of());
        Map<String, Set<String>> adapters = new HashMap<>();
        adapters.put("a", Set.of("x", "y"));
        adapters.put("b", Set.of());
        adapters.put("c", Set.of());
        report(ONE, false, new HeldModels(1, 0, adapters));
        demand(List.of(), Map.of(ONE, Map.of(ModelRef.parse("a/x"), 1)));
        now = now.plusMillis(50);
        demand(List.of(), Map.of());
        assertEquals(List.of("UNLOAD a/y one 0"), reportWaiting("a/z", 1));
        answer(OrderOutcome.DONE);
        assertEquals("LOAD a/z one 1", lastOrderText);
    }

    @Test
    void anAdapterThatWasJustLoadedIsNotEvictedForTheNext() {
        // Both adapter slots are taken and requests wait for two more adapters. When the first is
        // loaded, its requests are on their way. If it were unloaded for the second, and that one
        // for the first again, no request would ever be served.
        start(Set.of(), Set.of());
        report(ONE, false, new HeldModels(1, 0, adaptersOfA("x", "y")));
        List<LoadInput.ModelDemand> both =
                List.of(modelDemand("a/v", 1, 1), modelDemand("a/w", 1, 1));
        assertEquals(1, demand(both, Map.of()).size());
        answer(OrderOutcome.DONE);
        answer(OrderOutcome.ACCEPTED);
        now = now.plusMillis(30);
        tick();
        answer(OrderOutcome.DONE);
        answer(OrderOutcome.ACCEPTED);
        now = now.plusMillis(30);
        tick();
        assertEquals(4, sentOrders.size(), sentOrders.toString());
        demand(List.of(modelDemand("a/x", 1, 1)), Map.of());
        assertEquals(4, sentOrders.size(), sentOrders.toString());
        now = now.plusMillis(400);
        tick();
        assertEquals(5, sentOrders.size(), sentOrders.toString());
    }

    private static Map<String, Set<String>> adaptersOfA(String... names) {
        Map<String, Set<String>> adapters = new HashMap<>();
        adapters.put("a", Set.of(names));
        adapters.put("b", Set.of());
        adapters.put("c", Set.of());
        return adapters;
    }

    @Test
    void aBusyModelWhoseOnlyCopyIsInUseGetsASecondReplicaFromTheStore() {
        // All requests for a busy model go to the only upstream with a copy. Its adapter slots and
        // slots run out, and requests are refused while other upstreams are idle. A model with a
        // copy on another upstream is evicted for the load, which takes seconds.
        start(Set.of("e"), Set.of());
        demand(List.of(modelDemand("a", 0, 9.0)), Map.of());
        now = now.plusMillis(200);
        assertEquals(List.of("UNLOAD e two 0"), tick());
    }

    @Test
    void aBusyModelGetsASecondReplica() {
        start(Set.of(), Set.of("a"));
        demand(List.of(modelDemand("a", 0, 9.0)), Map.of());
        now = now.plusMillis(200);
        assertEquals(List.of("UNLOAD d two 0"), tick());
    }

    @Test
    void aBusyModelIsLoadedBeforeRareOnesThatHaveWaitedLonger() {
        // One engine is free and has copies of both models. The requests for the rare model are
        // more urgent and older; if it were always served first, the fifty callers of the busy
        // model would never be served.
        start(Set.of("g", "h"), Set.of());
        LoadInput.ModelDemand rare =
                new LoadInput.ModelDemand(ref("g"), 2, Duration.ofSeconds(2), 0, 0.3);
        LoadInput.ModelDemand busy =
                new LoadInput.ModelDemand(ref("h"), 50, Duration.ofMillis(900), 2, 15);
        demand(List.of(rare, busy), Map.of());
        answer(OrderOutcome.ACCEPTED);
        report(ONE, false, held(1, "b", "c"));
        assertTrue(sentOrders.contains("LOAD h one 1"), sentOrders.toString());
        assertFalse(sentOrders.contains("LOAD g one 1"), sentOrders.toString());
    }

    @Test
    void aModelWhoseRequestsCanStillBeInTimeIsLoadedBeforeOneWhoseRequestsAreLate() {
        // One engine is free and has copies of both models, and the requests are equally urgent.
        // One request is late already. If its model were loaded first because of its age, the other
        // request would become late too, and then the next, as long as more is requested than can
        // be loaded.
        start(Set.of("g", "h"), Set.of());
        LoadInput.ModelDemand late =
                new LoadInput.ModelDemand(ref("g"), 1, Duration.ofSeconds(2), 1, 0.1, 0);
        LoadInput.ModelDemand inTime =
                new LoadInput.ModelDemand(ref("h"), 1, Duration.ofMillis(300), 1, 0.1, 1);
        demand(List.of(late, inTime), Map.of());
        answer(OrderOutcome.ACCEPTED);
        report(ONE, false, held(1, "b", "c"));
        assertTrue(sentOrders.contains("LOAD h one 1"), sentOrders.toString());
        assertFalse(sentOrders.contains("LOAD g one 1"), sentOrders.toString());
    }

    @Test
    void anUnloadThatWouldWaitForRunningRequestsIsNotOrderedForNewRequests() {
        // All models on the engine with the copy are in use. An unload would wait for the request
        // that runs on its model and block the engine meanwhile, although another model may become
        // idle first. It is ordered only after requests have waited for a while.
        start(Set.of("g"), Set.of());
        Map<UpstreamId, Map<ModelRef, Integer>> runs =
                Map.of(ONE, Map.of(ref("a"), 1, ref("b"), 1, ref("c"), 1));
        assertEquals(List.of(), demand(List.of(modelDemand("g", 1, 0.2)), runs));
        LoadInput.ModelDemand patient =
                new LoadInput.ModelDemand(ref("g"), 1, Duration.ofMillis(1_600), 1, 0.2);
        assertEquals(1, demand(List.of(patient), runs).size());
    }

    @Test
    void memoryFreedForARareModelGoesToAModelThatHasBecomeBusy() {
        // An unload waits two seconds for a running request. Meanwhile another model, of which this
        // upstream has a copy, becomes busy. If the rare model were loaded first, the busy model's
        // callers would wait another second and for the next unload.
        start(Set.of("g", "h"), Set.of());
        reportWaiting("g", 1);
        answer(OrderOutcome.ACCEPTED);
        now = now.plusMillis(900);
        demand(List.of(modelDemand("g", 1, 0.2), modelDemand("h", 20, 15)), Map.of());
        report(ONE, false, held(1, "b", "c"));
        assertTrue(sentOrders.contains("LOAD h one 1"), sentOrders.toString());
    }

    @Test
    void beforeTheFirstRequestsAModelWithTwoReplicasKeepsBoth() {
        // Routers have just started and no request has arrived yet. Models with several replicas
        // are the busy ones; if a replica were evicted for a model that no upstream holds, the
        // first callers would find one replica where they need two.
        planner.on(new LoadInput.ServicesConfigured(Map.of("engines", spec())), now);
        list(ONE, held(0, "a", "b", "c"), Set.of("h"));
        list(TWO, held(0, "a", "e", "f"), Set.of("h"));
        planner.on(new LoadInput.Elected(), now);
        report(ONE, false, actual.get(ONE));
        report(TWO, false, actual.get(TWO));
        now = now.plusMillis(300);
        tick();
        assertFalse(sentOrders.toString().contains("UNLOAD a"), sentOrders.toString());
    }

    @Test
    void aModelBeingLoadedFromTheStoreIsNotLoadedFromThereAgain() {
        // No upstream has a copy of the model. Its load takes six seconds, and requests wait for it
        // meanwhile; if each planning round started another load, it would block one upstream after
        // the other.
        start(Set.of(), Set.of());
        reportWaiting("h", 1);
        answer(OrderOutcome.ACCEPTED);
        report(
                lastSent.upstream(),
                false,
                lastSent.upstream() == ONE ? held(1, "b", "c") : held(1, "e", "f"));
        answer(OrderOutcome.ACCEPTED);
        for (int step = 0; step < 20; step++) {
            now = now.plusMillis(200);
            reportWaiting("h", 1);
        }
        assertEquals(
                1,
                sentOrders.stream().filter(each -> each.startsWith("LOAD h")).count(),
                sentOrders.toString());
    }

    @Test
    void theStoreIsNotUsedWhileAnUpstreamHasACopy() {
        // The only upstream with a copy is busy for a moment. A load from the store would take six
        // seconds and block the other upstream for as long.
        start(Set.of(), Set.of("g"));
        report(TWO, true, held(1, "d", "e", "f"));
        assertEquals(List.of(), reportWaiting("g", 1));
    }

    // Guards against one planning round per report of dozens of routers, which would keep the
    // leader's VM from serving its callers.
    @Test
    void manyReportsLeadToFewPlanningRounds() {
        start(Set.of("g"), Set.of());
        long before = planner.planningRounds();
        for (int tick = 0; tick < 50; tick++) {
            for (int router = 0; router < 33; router++) {
                planner.on(
                        new LoadInput.DemandReported(
                                VmId.of("router-" + router),
                                List.of(modelDemand("g", 1, 0.1)),
                                Map.of(),
                                Set.of()),
                        now);
            }
            tick();
            now = now.plusMillis(20);
        }
        assertTrue(
                planner.planningRounds() - before <= 3 * 50, "rounds " + planner.planningRounds());
    }

    @Test
    void reportsThatStartNoRoundOfTheirOwnAreSummedInTheNextOne() {
        start(Set.of("g"), Set.of());
        for (String router : List.of("one", "two", "three", "four")) {
            LoadInput.ModelDemand quiet = modelDemand("e", 0, 0.5);
            planner.on(
                    new LoadInput.DemandReported(
                            VmId.of(router), List.of(quiet), Map.of(), Set.of()),
                    now);
        }
        now = now.plusMillis(20);
        tick();
        assertEquals(List.of("UNLOAD a one 0"), reportWaiting("g", 1));
    }

    private void start(Set<String> onDiskOfOne, Set<String> onDiskOfTwo) {
        planner.on(new LoadInput.ServicesConfigured(Map.of("engines", spec())), now);
        list(ONE, held(0, "a", "b", "c"), onDiskOfOne);
        list(TWO, held(0, "d", "e", "f"), onDiskOfTwo);
        planner.on(new LoadInput.Elected(), now);
        report(ONE, false, actual.get(ONE));
        report(TWO, false, actual.get(TWO));
    }

    private void list(UpstreamId id, HeldModels held, Set<String> onDisk) {
        actual.put(id, held);
        planner.on(new LoadInput.UpstreamListed(facts(id, held, onDisk)), now);
    }

    private List<LoadAction> report(UpstreamId id, boolean busy, HeldModels held) {
        List<LoadAction> actions =
                planner.on(new LoadInput.UpstreamReported(id, busy, held, Set.of(), Set.of()), now);
        orders(actions);
        return actions;
    }

    private void answer(OrderOutcome outcome) {
        orders(
                planner.on(
                        new LoadInput.OrderAnswered(
                                lastSent.upstream(), lastSent.number(), outcome),
                        now));
    }

    private List<String> tick() {
        return orders(planner.on(new LoadInput.Tick(), now));
    }

    private List<String> reportWaiting(String model, int waiting) {
        return demand(List.of(modelDemand(model, waiting, 0.2)), Map.of());
    }

    private List<String> demand(
            List<LoadInput.ModelDemand> demands, Map<UpstreamId, Map<ModelRef, Integer>> running) {
        return orders(
                planner.on(new LoadInput.DemandReported(ROUTER, demands, running, Set.of()), now));
    }

    private static LoadInput.DemandReported demanded(List<LoadInput.ModelDemand> demands) {
        return new LoadInput.DemandReported(ROUTER, demands, Map.of(), Set.of());
    }

    private List<String> orders(List<LoadAction> actions) {
        List<String> orders = new ArrayList<>();
        for (LoadAction action : actions) {
            if (action instanceof LoadAction.SendOrder order) {
                lastSent = order;
                lastOrderText =
                        String.join(
                                " ",
                                order.operation().name(),
                                order.model().toString(),
                                order.upstream().value(),
                                Long.toString(order.sequence()));
                orders.add(lastOrderText);
                sentOrders.add(lastOrderText);
            }
        }
        return orders;
    }

    private void carryOut(List<LoadAction> actions, int step) {
        for (LoadAction action : actions) {
            if (!(action instanceof LoadAction.SendOrder order)) {
                continue;
            }
            HeldModels before = actual.get(order.upstream());
            boolean lost = step % 4 == 0;
            boolean done = order.sequence() == before.sequence() && (!lost || step % 8 == 0);
            if (done) {
                long next = before.sequence() + 1;
                actual.put(
                        order.upstream(),
                        order.operation() == OrderOperation.LOAD
                                ? before.with(order.model(), next)
                                : before.without(order.model(), next));
            }
            OrderOutcome known = done ? OrderOutcome.ACCEPTED : OrderOutcome.CONFLICT;
            OrderOutcome outcome = lost ? OrderOutcome.UNKNOWN : known;
            carryOut(
                    planner.on(
                            new LoadInput.OrderAnswered(order.upstream(), order.number(), outcome),
                            now),
                    step);
        }
    }

    private static LoadInput.ModelDemand modelDemand(String model, int waiting, double perSecond) {
        return new LoadInput.ModelDemand(
                ModelRef.parse(model), waiting, Duration.ofMillis(10), 1, perSecond);
    }

    private static ModelRef ref(String model) {
        return ModelRef.parse(model);
    }

    private static HeldModels held(long sequence, String... models) {
        Map<String, Set<String>> adapters = new HashMap<>();
        for (String model : models) {
            adapters.put(model, Set.of());
        }
        return new HeldModels(1, sequence, adapters);
    }

    private static EngineSpec spec() {
        Map<String, ModelSpec> models = new HashMap<>();
        for (String name : List.of("a", "b", "c", "d", "e", "f", "g", "h")) {
            models.put(
                    name,
                    new ModelSpec(
                            name,
                            60,
                            Duration.ofSeconds(6),
                            Duration.ofMillis(600),
                            Duration.ofMillis(800),
                            0.1));
        }
        return new EngineSpec(32, 90_000, 200, 2, 5, models);
    }

    private static UpstreamFacts facts(UpstreamId id, HeldModels held, Set<String> onDisk) {
        return new UpstreamFacts(
                id,
                1,
                "engines",
                new Endpoint("10.0.0.1", 80),
                "a",
                32,
                false,
                Duration.ZERO,
                new HeldModels(1, HeldModels.UNKNOWN_SEQUENCE, held.adapters()),
                Set.of(),
                onDisk);
    }
}
