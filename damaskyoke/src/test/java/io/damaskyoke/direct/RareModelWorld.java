package io.damaskyoke.direct;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import io.damaskyoke.control.direct.ServiceSpec;
import io.damaskyoke.control.loads.LoadAction;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.LoadPlanner;
import io.damaskyoke.control.loads.LoadSettings;
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

/**
 * Simulates requests for rare models with the real planner and the real queues of one router.
 *
 * <p>The engines hold two thirds of the models, a simulated day takes a minute, and the clock is
 * advanced by hand. Several leaders may follow each other. The simulation counts the requests and
 * the served requests for each model.
 */
final class RareModelWorld {
    static final String SERVICE = "engines";

    private static final double LARGE_MB = 34_300;
    private static final double SMALL_MB = 16_100;
    private static final double ENGINE_MB = 83_000;
    private static final Duration STORE_LOAD_TIME = Duration.ofMillis(7_800);
    private static final Duration MEMORY_LOAD_TIME = Duration.ofMillis(700);
    private static final Duration DISK_LOAD_TIME = Duration.ofMillis(1_000);
    private static final int SLOTS = 64;
    private static final double MODELS_PER_ENGINE = 4.6;
    private static final double BUSY_FRACTION = 0.15;

    /** Requests per second and engine for the busy models. */
    private static final double BUSY_PER_SECOND = 2.5;

    /** Requests per second and engine for all other models, evenly distributed. */
    private static final double RARE_PER_SECOND = 0.4;

    /** Fraction of the models not loaded at the start of which some engine has a copy on disk. */
    private static final double DISK_COPY_FRACTION = 0.75;

    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration DEMAND_INTERVAL = Duration.ofMillis(100);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(1_200);
    private static final Duration BUSY_QUEUE_TIMEOUT = Duration.ofMillis(1_900);
    private static final Duration RARE_QUEUE_TIMEOUT = Duration.ofMillis(8_000);
    private static final Duration RETRY_DELAY = Duration.ofMillis(1_500);
    private static final Duration MISSING_MODEL_PAUSE = Duration.ofMillis(120);
    private static final int MAX_RUN_MILLIS = 3_600;

    /**
     * Requests from which a model should have been served, if they span at least {@link
     * #MIN_OFTEN_TIME}.
     */
    private static final int MIN_OFTEN_REQUESTS = 4;

    private static final Duration MIN_OFTEN_TIME = Duration.ofSeconds(8);

    private final Random random;
    private final EngineSpec spec;
    private final SimulatedWeightStore weights;
    private final Map<UpstreamId, RareModelEngine> engines = new TreeMap<>();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final UpstreamDispatcher dispatcher;
    private final Map<String, RequestCounts> counts = new TreeMap<>();
    private final TestControlThread time = new TestControlThread();
    private LoadPlanner planner = new LoadPlanner(LoadSettings.defaults());
    private final Random timeoutRandom;
    private boolean spreadsTimeouts;
    private boolean refusesAtArrival;
    private boolean hasLeader;
    private int refusedAtArrival;
    private int served;
    private int asked;

    private static final class RequestCounts {
        private int asked;
        private int served;
        private Instant first;
        private Instant last;
    }

    RareModelWorld(int count, int atFullSpeed, long seed) {
        this.random = new Random(seed);
        this.timeoutRandom = new Random(seed);
        this.weights = new SimulatedWeightStore(atFullSpeed);
        this.spec = spec((int) (count * MODELS_PER_ENGINE));
        this.dispatcher =
                new UpstreamDispatcher(
                        upstreams, "a", Map.of(), this::now, Runnable::run, (id, all) -> (int) all);
        dispatcher.setEngineServices(
                List.of(new ServiceSpec(SERVICE, 1, Duration.ZERO, 0, Optional.of(spec))));
        for (int each = 0; each < count; each++) {
            RareModelEngine engine =
                    new RareModelEngine(String.format("engine-%03d", each), spec, weights);
            engines.put(engine.id(), engine);
        }
        placeAtStart();
        engines.values().forEach(engine -> upstreams.put(engine.facts(), now()));
        time.every(HEARTBEAT_INTERVAL, this::heartbeat);
        time.every(DEMAND_INTERVAL, this::reportDemand);
    }

    private static EngineSpec spec(int models) {
        Map<String, ModelSpec> all = new TreeMap<>();
        for (int each = 0; each < models; each++) {
            String name = modelName(each);
            double weight = each % 9 < 5 ? LARGE_MB : SMALL_MB;
            all.put(
                    name,
                    new ModelSpec(
                            name, weight, STORE_LOAD_TIME, MEMORY_LOAD_TIME, DISK_LOAD_TIME, 40));
        }
        return new EngineSpec(SLOTS, 100_000, ENGINE_MB, 8, 18, all);
    }

    private static String modelName(int model) {
        return String.format("m%03d", model);
    }

    private int busyModels() {
        return Math.max(1, (int) (spec.models().size() * BUSY_FRACTION));
    }

    // Busy models are loaded on three engines each, the others on one while there is memory, and
    // most
    // of the rest have a copy on a disk.
    private void placeAtStart() {
        List<RareModelEngine> all = new ArrayList<>(engines.values());
        int next = 0;
        for (int model = 0; model < spec.models().size(); model++) {
            int replicas = model < busyModels() ? Math.min(3, all.size()) : 1;
            boolean placed = false;
            for (int replica = 0; replica < replicas; replica++) {
                for (int candidate = 0; candidate < all.size(); candidate++) {
                    if (all.get(next++ % all.size()).preload(modelName(model))) {
                        placed = true;
                        break;
                    }
                }
            }
            if (!placed && random.nextDouble() < DISK_COPY_FRACTION) {
                all.get(next++ % all.size()).copyToDisk(modelName(model));
            }
        }
    }

    /** Spreads the queue timeouts of rare requests, from a quarter to 1.5 times the usual. */
    void spreadTimeouts() {
        spreadsTimeouts = true;
    }

    /** Lets the router refuse requests at arrival. */
    void refuseAtArrival() {
        refusesAtArrival = true;
        dispatcher.onRefusedAtArrival(any -> refusedAtArrival++);
    }

    int refusedAtArrival() {
        return refusedAtArrival;
    }

    private Duration rareQueueTimeout() {
        return spreadsTimeouts
                ? RARE_QUEUE_TIMEOUT.dividedBy(4).multipliedBy(1 + timeoutRandom.nextInt(6))
                : RARE_QUEUE_TIMEOUT;
    }

    /** Returns the largest number of concurrent loads from the store. */
    int maxConcurrentLoads() {
        return weights.maxConcurrentLoads();
    }

    /** Returns the number of models of which no engine has a copy. */
    private long withoutCopy() {
        return spec.models().keySet().stream()
                .filter(model -> engines.values().stream().noneMatch(e -> e.hasCopy(model)))
                .count();
    }

    /** Makes another router the leader. */
    void changeLeader() {
        planner = new LoadPlanner(LoadSettings.defaults());
        hasLeader = true;
        feedPlanner(new LoadInput.ServicesConfigured(Map.of(SERVICE, spec)));
        engines.values()
                .forEach(engine -> feedPlanner(new LoadInput.UpstreamListed(engine.facts())));
        feedPlanner(new LoadInput.Elected());
    }

    /** Leaves the fleet without a leader. */
    void removeLeader() {
        hasLeader = false;
    }

    /** Starts the arrival of callers, for the given time. */
    void startArrivals(Duration day) {
        Instant end = now().plus(day);
        double busy = BUSY_PER_SECOND * engines.size();
        double rare = RARE_PER_SECOND * engines.size();
        arrivals(busy, end, true);
        arrivals(rare, end, false);
    }

    private void arrivals(double perSecond, Instant end, boolean busy) {
        double seconds = -Math.log(1 - random.nextDouble()) / perSecond;
        time.after(
                Duration.ofNanos((long) (seconds * 1e9)),
                () -> {
                    if (now().isBefore(end)) {
                        new Caller(
                                        model(busy),
                                        busy ? BUSY_QUEUE_TIMEOUT : rareQueueTimeout(),
                                        false)
                                .send();
                        arrivals(perSecond, end, busy);
                    }
                });
    }

    private String model(boolean busy) {
        int busyCount = busyModels();
        if (!busy) {
            return modelName(busyCount + random.nextInt(spec.models().size() - busyCount));
        }
        double position = random.nextDouble();
        return modelName((int) (busyCount * position * position));
    }

    void advance(Duration duration) {
        Instant end = now().plus(duration);
        while (now().isBefore(end)) {
            time.advance(STEP);
            weights.advance(STEP);
            engines.values().forEach(engine -> engine.completeOrders(now()));
            if (now().toEpochMilli() % 20 == 0) {
                feedPlanner(new LoadInput.Tick());
            }
            if (now().toEpochMilli() % 50 == 0) {
                dispatcher.tick();
            }
        }
    }

    private void heartbeat() {
        for (RareModelEngine engine : engines.values()) {
            upstreams.put(engine.facts(), now());
            feedPlanner(new LoadInput.UpstreamListed(engine.facts()));
        }
    }

    private void reportDemand() {
        feedPlanner(dispatcher.demand(VmId.of("router")));
    }

    private void feedPlanner(LoadInput input) {
        if (hasLeader) {
            planner.on(input, now()).forEach(this::execute);
        }
    }

    private void execute(LoadAction action) {
        LoadPlanner sender = planner;
        if (action instanceof LoadAction.SendOrder order) {
            time.after(
                    Duration.ofMillis(2),
                    () -> {
                        var outcome = engines.get(order.upstream()).execute(order, now());
                        deliver(
                                sender,
                                new LoadInput.OrderAnswered(
                                        order.upstream(), order.number(), outcome));
                    });
        } else if (action instanceof LoadAction.RequestReport reportRequest) {
            time.after(
                    Duration.ofMillis(3),
                    () -> deliver(sender, engines.get(reportRequest.upstream()).report()));
        } else if (action instanceof LoadAction.AnnounceHeldModels announcement) {
            upstreams
                    .find(announcement.upstream())
                    .ifPresent(each -> each.leaderAnnounced(announcement.held(), now()));
            dispatcher.tick();
        }
    }

    private void deliver(LoadPlanner to, LoadInput input) {
        if (to == planner) {
            feedPlanner(input);
        }
    }

    private Instant now() {
        return time.clock().instant();
    }

    /** Returns the models that were requested often and over a long time but never served. */
    List<String> neverServed() {
        return counts.entrySet().stream()
                .filter(entry -> isOftenRequested(entry.getValue()) && entry.getValue().served == 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the number of models that were requested often and over a long time. */
    long oftenRequestedCount() {
        return counts.values().stream().filter(RareModelWorld::isOftenRequested).count();
    }

    private static boolean isOftenRequested(RequestCounts count) {
        return count.asked >= MIN_OFTEN_REQUESTS
                && !count.last.isBefore(count.first.plus(MIN_OFTEN_TIME));
    }

    /** Returns the fraction of callers that were served, at the first attempt or at the retry. */
    double servedFraction() {
        return served / (double) asked;
    }

    @Override
    public String toString() {
        return String.format(
                "%d of %d models never served, %.3f of %d callers served, %d loads from the"
                        + " store, %d at once, %d models without a copy",
                neverServed().size(),
                oftenRequestedCount(),
                servedFraction(),
                asked,
                weights.loadsStarted(),
                maxConcurrentLoads(),
                withoutCopy());
    }

    /** One request; when it is refused, its caller retries once. */
    private final class Caller extends SimulatedRequest {
        private final ModelRef model;
        private final Duration queueTimeout;
        private final boolean isRetry;
        private final Map<UpstreamId, Instant> pausedUntil = new HashMap<>();

        Caller(String name, Duration queueTimeout, boolean isRetry) {
            super(SERVICE, now(), queueTimeout);
            this.model = new ModelRef(name, "");
            this.queueTimeout = queueTimeout;
            this.isRetry = isRetry;
        }

        void send() {
            RequestCounts count = counts.computeIfAbsent(model.model(), any -> new RequestCounts());
            count.asked++;
            count.first = count.first == null ? now() : count.first;
            count.last = now();
            asked += isRetry ? 0 : 1;
            dispatcher.recordArrival(model);
            if (refusesAtArrival) {
                dispatcher.arrive(this);
            } else {
                dispatcher.enqueue(this);
            }
        }

        @Override
        public Optional<ModelRef> model() {
            return Optional.of(model);
        }

        @Override
        public Instant onTimeSendDeadline() {
            return arrivedAt().plus(queueTimeout.dividedBy(4));
        }

        @Override
        public Set<UpstreamId> excludedUpstreams() {
            pausedUntil.values().removeIf(until -> !now().isBefore(until));
            return pausedUntil.keySet();
        }

        @Override
        public void sendTo(Upstream upstream) {
            RareModelEngine engine = engines.get(upstream.facts().id());
            if (!engine.serves(model.model())) {
                upstream.requestMisdirected();
                pausedUntil.put(engine.id(), now().plus(MISSING_MODEL_PAUSE));
                dispatcher.enqueue(this);
                return;
            }
            upstream.requestAssigned(model, now());
            upstream.requestSent(now());
            engine.startRun(model.model());
            counts.get(model.model()).served++;
            served++;
            time.after(
                    Duration.ofMillis(200 + random.nextInt(MAX_RUN_MILLIS)),
                    () -> {
                        engine.finishRun(model.model());
                        upstream.requestFinished(model);
                        dispatcher.sendQueued(SERVICE);
                    });
        }

        @Override
        public void handleNoUpstream() {
            if (!isRetry) {
                time.after(RETRY_DELAY, () -> new Caller(model.model(), queueTimeout, true).send());
            }
        }
    }
}
