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

/** Tests loads that are assumed to be finished before a report shows the model. */
class UnreportedOrdersTest {
    private static final UpstreamId ONE = UpstreamId.of("one");
    private static final Duration DISK_LOAD_TIME = Duration.ofMillis(800);

    private final LoadPlanner planner = new LoadPlanner(LoadSettings.defaults());
    private final List<LoadAction.SendOrder> sent = new ArrayList<>();
    private HeldModels announced = held(0);
    private Instant now = Instant.ofEpochSecond(100);

    // Guards against an upstream that is ordered to load more than fits, as it frees the memory of
    // an unloaded model later than it accepts the order.
    @Test
    void theLoadWaitsForTheReportOfTheUnload() {
        startUnload();
        answer(OrderOutcome.ACCEPTED);
        tick();
        assertEquals(1, sent.size());
        now = now.plusMillis(100);
        report(false, held(1, "b", "c"));
        assertEquals("LOAD d 1", lastOrder());
    }

    // Guards against a model that counts as held although its upstream is still busy with the load.
    @Test
    void aConflictAfterTheLoadTimeShowsThatTheLoadIsNotFinished() {
        startLoad();
        now = now.plus(DISK_LOAD_TIME).plusMillis(40);
        tick();
        assertTrue(announced.contains(ModelRef.parse("d")));
        planner.on(demandFor("a", 1), now).forEach(this::record);
        assertEquals(OrderOperation.UNLOAD, sent.get(sent.size() - 1).operation());
        answer(OrderOutcome.CONFLICT);
        assertFalse(announced.contains(ModelRef.parse("d")));
    }

    // Guards against an upstream that counts as loading until a report that lags shows the model.
    @Test
    void aLoadFromDiskIsFinishedOnceItsTimeHasPassed() {
        startLoad();
        now = now.plus(DISK_LOAD_TIME);
        tick();
        assertFalse(announced.contains(ModelRef.parse("d")));
        now = now.plusMillis(40);
        tick();
        assertTrue(announced.contains(ModelRef.parse("d")));
    }

    // Guards against a report from during the load that takes the loaded model away again.
    @Test
    void aReportFromDuringTheLoadDoesNotWithdrawIt() {
        startLoad();
        now = now.plus(DISK_LOAD_TIME).plusMillis(40);
        tick();
        report(true, held(2, "b", "c"));
        tick();
        assertTrue(announced.contains(ModelRef.parse("d")));
    }

    // Guards against an upstream that is ordered to hold more than fits, because a load that takes
    // longer than configured is neither held nor being loaded.
    @Test
    void aLoadThatTakesLongerIsNotHeldButItsMemoryStaysReserved() {
        startLoad();
        now = now.plus(DISK_LOAD_TIME).plusMillis(400);
        tick();
        report(true, held(2, "b", "c"));
        assertFalse(announced.contains(ModelRef.parse("d")));
        int orders = sent.size();
        now = now.plusMillis(100);
        tick();
        assertEquals(orders, sent.size());
    }

    // Guards against a model that counts as held for good after its load has failed.
    @Test
    void aLoadThatFailedIsNotHeld() {
        startLoad();
        now = now.plus(DISK_LOAD_TIME).plusMillis(40);
        tick();
        now = now.plusSeconds(2);
        report(false, held(2, "b", "c"));
        assertFalse(announced.contains(ModelRef.parse("d")));
    }

    // Guards against an earlier state that is planned from after a conflict.
    @Test
    void aReportFromBeforeTheLastAcceptedOrderIsIgnored() {
        startLoad();
        now = now.plus(DISK_LOAD_TIME).plusMillis(40);
        tick();
        report(false, held(1, "a", "b", "c"));
        assertTrue(announced.contains(ModelRef.parse("d")));
    }

    private void startLoad() {
        startUnload();
        answer(OrderOutcome.ACCEPTED);
        report(false, held(1, "b", "c"));
        answer(OrderOutcome.ACCEPTED);
    }

    private void startUnload() {
        planner.on(new LoadInput.ServicesConfigured(Map.of("engines", spec())), now);
        planner.on(new LoadInput.UpstreamListed(facts()), now);
        planner.on(new LoadInput.Elected(), now);
        report(false, held(0, "a", "b", "c"));
        planner.on(demandFor("d", 0), now);
        now = now.plusSeconds(10);
        planner.on(demandFor("d", 1), now).forEach(this::record);
        assertEquals("UNLOAD a 0", lastOrder());
    }

    private static LoadInput.DemandReported demandFor(String model, int waiting) {
        LoadInput.ModelDemand demand =
                new LoadInput.ModelDemand(
                        ModelRef.parse(model), waiting, Duration.ofMillis(10), 1, 0.2);
        return new LoadInput.DemandReported(
                VmId.of("router-1"), List.of(demand), Map.of(), Set.of());
    }

    private void answer(OrderOutcome outcome) {
        long number = sent.get(sent.size() - 1).number();
        planner.on(new LoadInput.OrderAnswered(ONE, number, outcome), now).forEach(this::record);
    }

    private void report(boolean busy, HeldModels held) {
        planner.on(new LoadInput.UpstreamReported(ONE, busy, held, Set.of(), Set.of()), now)
                .forEach(this::record);
    }

    private void tick() {
        planner.on(new LoadInput.Tick(), now).forEach(this::record);
    }

    private void record(LoadAction action) {
        if (action instanceof LoadAction.SendOrder order) {
            sent.add(order);
        } else if (action instanceof LoadAction.AnnounceHeldModels announcement) {
            announced = announcement.held();
        }
    }

    private String lastOrder() {
        LoadAction.SendOrder last = sent.get(sent.size() - 1);
        return last.operation() + " " + last.model() + " " + last.sequence();
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
        for (String name : List.of("a", "b", "c", "d")) {
            models.put(
                    name,
                    new ModelSpec(
                            name,
                            60,
                            Duration.ofSeconds(6),
                            Duration.ofMillis(600),
                            DISK_LOAD_TIME,
                            0.1));
        }
        return new EngineSpec(32, 90_000, 200, 2, 5, models);
    }

    private static UpstreamFacts facts() {
        return new UpstreamFacts(
                ONE,
                1,
                "engines",
                new Endpoint("10.0.0.1", 80),
                "a",
                32,
                false,
                Duration.ZERO,
                new HeldModels(1, HeldModels.UNKNOWN_SEQUENCE, held(0, "a", "b", "c").adapters()),
                Set.of(),
                Set.of("d"));
    }
}
