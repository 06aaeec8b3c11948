package io.damaskyoke.direct;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import io.damaskyoke.control.direct.ServiceSpec;
import io.damaskyoke.control.loads.LoadAction;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.LoadPlanner;
import io.damaskyoke.control.loads.LoadSettings;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Simulates engines that crash, return empty and fail requests, with the real queues of two routers
 * and the real planner: {@code world.trouble(time)}, {@code world.calm(time)}. There are more
 * models than a part of the engines has room for, and all are requested all the time.
 */
final class CrashingEnginesWorld {
    private static final String SERVICE = RareModelWorld.SERVICE;
    private static final int ENGINES = 4;
    private static final int MODELS = 8;
    private static final int ROUTERS = 2;
    private static final int SLOTS = 32;
    private static final int DEADLINE_MILLIS = 4_000;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration ARRIVAL_INTERVAL = Duration.ofMillis(30);
    private static final Duration DEMAND_INTERVAL = Duration.ofMillis(100);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(1_200);
    private static final Duration MISSING_MODEL_PAUSE = Duration.ofMillis(120);
    private static final Duration FULL_PAUSE = Duration.ofMillis(30);
    private static final Duration RUN_TIME = Duration.ofMillis(120);

    private final Random random;
    private final TestControlThread time = new TestControlThread();
    private final SimulatedWeightStore weights = new SimulatedWeightStore(MODELS);
    private final EngineSpec spec = spec();
    private final Map<UpstreamId, RareModelEngine> engines = new TreeMap<>();
    private final List<Router> routers = new ArrayList<>();
    private final LoadPlanner planner = new LoadPlanner(LoadSettings.defaults());
    private final Set<UpstreamId> used = new TreeSet<>();
    private final Set<String> served = new TreeSet<>();
    private boolean answersAreLost;
    private int arrivals;

    /** How an engine that is up ends a request. */
    private enum Ending {
        ANSWERED,
        FAILED,
        REJECTED_AS_FULL,
        CALLER_LEFT
    }

    private final class Router {
        private final UpstreamTable upstreams = new UpstreamTable();
        private final UpstreamDispatcher dispatcher =
                new UpstreamDispatcher(
                        upstreams,
                        "a",
                        Map.of(),
                        time.clock(),
                        Runnable::run,
                        (id, all) -> (int) all);
    }

    CrashingEnginesWorld(long seed) {
        random = new Random(seed);
        for (int each = 0; each < ROUTERS; each++) {
            Router router = new Router();
            router.dispatcher.setEngineServices(
                    List.of(new ServiceSpec(SERVICE, 1, Duration.ZERO, 0, Optional.of(spec))));
            routers.add(router);
        }
        planner.on(new LoadInput.ServicesConfigured(Map.of(SERVICE, spec)), now());
        for (int each = 0; each < ENGINES; each++) {
            RareModelEngine engine = new RareModelEngine("engine-" + each, spec, weights);
            engine.preload(modelName(2 * each));
            engine.preload(modelName(2 * each + 1));
            spec.models().keySet().forEach(engine::copyToDisk);
            engines.put(engine.id(), engine);
            list(engine);
        }
        feedPlanner(new LoadInput.Elected());
        time.every(HEARTBEAT_INTERVAL, this::heartbeat);
        time.every(DEMAND_INTERVAL, this::reportDemand);
        time.every(ARRIVAL_INTERVAL, this::arrive);
    }

    private static EngineSpec spec() {
        Map<String, ModelSpec> all = new TreeMap<>();
        for (int each = 0; each < MODELS; each++) {
            String name = modelName(each);
            all.put(
                    name,
                    new ModelSpec(
                            name,
                            60_000,
                            Duration.ofMillis(6_000),
                            Duration.ofMillis(440),
                            Duration.ofMillis(680),
                            66));
        }
        return new EngineSpec(SLOTS, 95_068, 140_000, 8, 5.8, all);
    }

    private static String modelName(int model) {
        return "m" + model;
    }

    /** Crashes engines and loses answers at random for this long; at the end all are up. */
    void trouble(Duration duration) {
        answersAreLost = true;
        Instant end = now().plus(duration);
        while (now().isBefore(end)) {
            RareModelEngine engine =
                    engines.get(UpstreamId.of("engine-" + random.nextInt(ENGINES)));
            if (engine.isUp() && random.nextInt(3) > 0) {
                crash(engine);
            }
            advance(Duration.ofMillis(10L * (1 + random.nextInt(200))));
        }
        answersAreLost = false;
        advance(Duration.ofMillis(3_500));
    }

    // Some are down for less than a heartbeat, some return at once, and some stay listed all along.
    private void crash(RareModelEngine engine) {
        engine.crash();
        time.after(
                Duration.ofMillis(1 + random.nextInt(3_400)),
                () -> {
                    engine.restart(now().toEpochMilli());
                    list(engine);
                });
    }

    /** Loses answers of all engines for this long, though none restarts. */
    void loseAnswers(Duration duration) {
        answersAreLost = true;
        advance(duration);
        answersAreLost = false;
    }

    /** Unloads all that the engines hold, without a restart and as by orders of another leader. */
    void unloadAll() {
        engines.values().forEach(RareModelEngine::unloadAll);
        heartbeat();
    }

    /** Goes on for this long without trouble. */
    void calm(Duration duration) {
        advance(duration);
    }

    /** Starts to count anew which engines get work and which models are served. */
    void startCounting() {
        used.clear();
        served.clear();
    }

    /** Returns the engines that get no work although all are up and all models are requested. */
    Set<UpstreamId> idleEngines() {
        Set<UpstreamId> idle = new TreeSet<>(engines.keySet());
        idle.removeAll(used);
        return idle;
    }

    /** Returns the models that are requested and not served. */
    Set<String> unservedModels() {
        Set<String> unserved = new TreeSet<>(spec.models().keySet());
        unserved.removeAll(served);
        return unserved;
    }

    /** Returns what the planner knows of models that requests wait for. */
    List<String> unmetDemand() {
        return planner.explainLongWaits(Duration.ofMillis(800), now());
    }

    private void advance(Duration duration) {
        Instant end = now().plus(duration);
        while (now().isBefore(end)) {
            time.advance(STEP);
            weights.advance(STEP);
            engines.values().forEach(engine -> engine.completeOrders(now()));
            if (now().toEpochMilli() % 20 == 0) {
                feedPlanner(new LoadInput.Tick());
            }
            if (now().toEpochMilli() % 50 == 0) {
                routers.forEach(router -> router.dispatcher.tick());
            }
        }
    }

    private void heartbeat() {
        engines.values().stream().filter(RareModelEngine::isUp).forEach(this::list);
    }

    private void list(RareModelEngine engine) {
        var facts = engine.facts();
        routers.forEach(router -> router.upstreams.put(facts, now()));
        feedPlanner(new LoadInput.UpstreamListed(facts));
    }

    private void reportDemand() {
        for (int each = 0; each < ROUTERS; each++) {
            feedPlanner(routers.get(each).dispatcher.demand(VmId.of("router-" + each)));
        }
    }

    private void arrive() {
        int number = arrivals++;
        Router router = routers.get(number / MODELS % ROUTERS);
        new Caller(router, modelName(number % MODELS)).send();
    }

    private void feedPlanner(LoadInput input) {
        planner.on(input, now()).forEach(this::execute);
    }

    private void execute(LoadAction action) {
        if (action instanceof LoadAction.SendOrder order) {
            RareModelEngine engine = engines.get(order.upstream());
            time.after(
                    Duration.ofMillis(2),
                    () ->
                            feedPlanner(
                                    new LoadInput.OrderAnswered(
                                            order.upstream(),
                                            order.number(),
                                            engine.isUp()
                                                    ? engine.execute(order, now())
                                                    : OrderOutcome.REFUSED)));
        } else if (action instanceof LoadAction.RequestReport asked) {
            RareModelEngine engine = engines.get(asked.upstream());
            time.after(
                    Duration.ofMillis(3),
                    () ->
                            feedPlanner(
                                    engine.isUp()
                                            ? engine.report()
                                            : new LoadInput.ReportFailed(asked.upstream())));
        } else if (action instanceof LoadAction.AnnounceHeldModels announcement) {
            for (Router router : routers) {
                router.upstreams
                        .find(announcement.upstream())
                        .ifPresent(each -> each.leaderAnnounced(announcement.held(), now()));
                router.dispatcher.tick();
            }
        }
    }

    private Instant now() {
        return time.clock().instant();
    }

    private final class Caller extends SimulatedRequest {
        private final Router router;
        private final ModelRef model;
        private final Map<UpstreamId, Instant> pausedUntil = new HashMap<>();

        Caller(Router router, String model) {
            super(SERVICE, now(), Duration.ofMillis(DEADLINE_MILLIS));
            this.router = router;
            this.model = new ModelRef(model, "");
        }

        void send() {
            router.dispatcher.recordArrival(model);
            router.dispatcher.arrive(this);
        }

        @Override
        public Optional<ModelRef> model() {
            return Optional.of(model);
        }

        @Override
        public Set<UpstreamId> excludedUpstreams() {
            pausedUntil.values().removeIf(until -> !now().isBefore(until));
            return pausedUntil.keySet();
        }

        @Override
        public void sendTo(Upstream upstream) {
            Instant assignedAt = now();
            upstream.requestAssigned(model, assignedAt);
            upstream.requestSent(assignedAt);
            RareModelEngine engine = engines.get(upstream.facts().id());
            if (!engine.isUp()) {
                time.after(Duration.ofMillis(1), () -> failed(upstream, assignedAt));
            } else if (!engine.serves(model.model())) {
                time.after(Duration.ofMillis(1), () -> misdirected(upstream));
            } else {
                run(upstream, engine, assignedAt);
            }
        }

        private void run(Upstream upstream, RareModelEngine engine, Instant assignedAt) {
            long startedAt = engine.startedAt();
            Ending ending = ending();
            if (ending == Ending.ANSWERED) {
                used.add(engine.id());
                engine.startRun(model.model());
            }
            time.after(
                    RUN_TIME,
                    () -> {
                        if (!engine.isUp() || engine.startedAt() != startedAt) {
                            failed(upstream, assignedAt);
                        } else {
                            end(upstream, engine, assignedAt, ending);
                        }
                    });
        }

        private Ending ending() {
            return answersAreLost
                    ? Ending.values()[random.nextInt(Ending.values().length)]
                    : Ending.ANSWERED;
        }

        private void end(
                Upstream upstream, RareModelEngine engine, Instant assignedAt, Ending ending) {
            switch (ending) {
                case ANSWERED -> {
                    served.add(model.model());
                    engine.finishRun(model.model());
                    upstream.requestAnswered(RUN_TIME, now());
                    finished(upstream);
                }
                case FAILED -> failed(upstream, assignedAt);
                case REJECTED_AS_FULL -> {
                    finished(upstream);
                    upstream.requestRejected(now(), FULL_PAUSE);
                    retry();
                }
                case CALLER_LEFT -> {
                    upstream.requestUndecided();
                    finished(upstream);
                }
                default -> throw new IllegalStateException("no such ending: " + ending);
            }
        }

        private void failed(Upstream upstream, Instant assignedAt) {
            upstream.requestFailed(assignedAt, now());
            finished(upstream);
            retry();
        }

        private void misdirected(Upstream upstream) {
            finished(upstream);
            upstream.requestMisdirected();
            pausedUntil.put(upstream.facts().id(), now().plus(MISSING_MODEL_PAUSE));
            retry();
        }

        private void finished(Upstream upstream) {
            upstream.requestFinished(model);
            router.dispatcher.sendQueued(SERVICE);
        }

        private void retry() {
            if (now().isBefore(queueDeadline())) {
                router.dispatcher.enqueue(this);
            }
        }

        @Override
        public void handleNoUpstream() {
            router.dispatcher.remove(this);
        }
    }
}
