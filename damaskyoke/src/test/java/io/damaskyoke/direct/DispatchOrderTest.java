package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import io.damaskyoke.control.direct.ServiceSpec;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests which waiting requests a router sends next, and which it refuses at arrival. */
class DispatchOrderTest {
    private static final String SERVICE = "engines";
    private static final Duration QUEUE_TIMEOUT = Duration.ofSeconds(6);
    private static final Duration LOAD = Duration.ofMillis(10_200);
    private static final int SLOTS = 32;
    private static final String GREEDY = "greedy";
    private static final int OTHERS = 15;

    private final TestControlThread time = new TestControlThread();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final UpstreamDispatcher dispatcher =
            new UpstreamDispatcher(
                    upstreams, "a", Map.of(), time.clock(), Runnable::run, (id, all) -> (int) all);
    private final List<Duration> refused = new ArrayList<>();
    private int sentInTime;

    // Guards against a workspace above its usual load that makes the requests of others late.
    @Test
    void aWorkspaceAtSixTimesItsLoadHardlyDelaysOthers() {
        double usual = new DispatchOrderTest().shareInTime(1, true);
        double inTurns = new DispatchOrderTest().shareInTime(6, true);
        double byArrival = new DispatchOrderTest().shareInTime(6, false);
        String shares = usual + " usual, " + inTurns + " in turns, " + byArrival + " by arrival";
        assertTrue(inTurns >= usual - 0.05, shares);
        assertTrue(byArrival < usual - 0.05, shares);
    }

    // Guards against callers that wait until their timeout for a model that comes too late.
    @Test
    void aRequestThatCannotBeSentInTimeIsRefusedWithTheTimeOfTheLoad() {
        configure(20);
        addUpstream();
        arrive("m19");
        time.advance(Duration.ofMillis(500));
        arrive("m19");
        assertEquals(List.of(LOAD.minusMillis(500)), refused);
        time.advance(Duration.ofMillis(4_000));
        arrive("m19");
        arrive("m19");
        assertEquals(1, refused.size());
    }

    // Guards against refusals by a router that knows no upstream or model yet.
    @Test
    void withoutAForecastRequestsAreQueued() {
        arrive("m19");
        configure(20);
        arrive("m19");
        arrive("m19");
        addUpstream();
        arrive("unknown");
        arrive("unknown");
        assertEquals(List.of(), refused);
    }

    // Guards against refusals where all models have room and a replica comes soon.
    @Test
    void withRoomForAllModelsRequestsAreQueued() {
        configure(3);
        addUpstream();
        arrive("m2");
        arrive("m2");
        assertEquals(List.of(), refused);
    }

    private double shareInTime(int factor, boolean fair) {
        dispatcher.setFairAmongWorkspaces(fair);
        addUpstream();
        time.every(Duration.ofMillis(50), dispatcher::tick);
        Random random = new Random(7);
        int sent = 0;
        for (int step = 0; step < 1_000; step++) {
            for (int other = 0; other < OTHERS; other++) {
                if (random.nextDouble() < 0.015) {
                    sent++;
                    dispatcher.arrive(new Request(null, "other-" + other));
                }
            }
            double greedy = 0.07 * (step < 500 ? factor : 1);
            if (random.nextDouble() < greedy) {
                dispatcher.arrive(new Request(null, GREEDY));
            }
            time.advance(Duration.ofMillis(10));
        }
        time.advance(QUEUE_TIMEOUT);
        return sentInTime / (double) sent;
    }

    private void configure(int modelCount) {
        Map<String, ModelSpec> models = new TreeMap<>();
        IntStream.range(0, modelCount)
                .mapToObj(each -> "m" + each)
                .forEach(name -> models.put(name, new ModelSpec(name, 70, LOAD, LOAD, LOAD, 1)));
        EngineSpec spec = new EngineSpec(SLOTS, 85_236, 230, 8, 14, models);
        dispatcher.setEngineServices(
                List.of(new ServiceSpec(SERVICE, 350, Duration.ZERO, 0, Optional.of(spec))));
    }

    private void arrive(String model) {
        dispatcher.arrive(new Request(model, "any"));
    }

    private void addUpstream() {
        upstreams.put(
                new UpstreamFacts(
                        UpstreamId.of("engine"),
                        1,
                        SERVICE,
                        new Endpoint("127.0.0.1", 1),
                        "a",
                        SLOTS,
                        false,
                        Duration.ZERO,
                        new HeldModels(1, 1, Map.of()),
                        Set.of(),
                        Set.of()),
                time.clock().instant());
    }

    /** A request whose run takes a second. */
    private final class Request extends SimulatedRequest {
        private final Optional<ModelRef> model;
        private final Optional<WorkspaceId> workspace;

        Request(String model, String workspace) {
            super(SERVICE, time.clock().instant(), QUEUE_TIMEOUT);
            this.model = Optional.ofNullable(model).map(ModelRef::parse);
            this.workspace = Optional.of(WorkspaceId.of(workspace));
        }

        @Override
        public Optional<ModelRef> model() {
            return model;
        }

        @Override
        public Optional<WorkspaceId> workspace() {
            return workspace;
        }

        @Override
        public void sendTo(Upstream upstream) {
            Instant now = time.clock().instant();
            boolean counts = !workspace.get().value().equals(GREEDY);
            sentInTime += counts && !now.isAfter(onTimeSendDeadline()) ? 1 : 0;
            upstream.requestAssigned(null, now);
            upstream.requestSent(now);
            time.after(
                    Duration.ofSeconds(1),
                    () -> {
                        upstream.requestFinished(null);
                        dispatcher.sendQueued(SERVICE);
                    });
        }

        @Override
        public void refuseAtArrival(Duration retryAfter) {
            refused.add(retryAfter);
        }

        @Override
        public void handleNoUpstream() {}
    }
}
