package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import io.damaskyoke.control.direct.ServiceSpec;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.loads.UnansweredLoadOrder;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Simulates routers, one of which at a time is the leader, and model upstreams, with simulated
 * time, and records each order to an upstream to hold more than it has capacity for.
 */
final class OrderSimulation {
    private static final Comparator<UpstreamId> ID_ORDER = Comparator.comparing(UpstreamId::value);

    private static final int ROUTERS = 2;
    private static final int ENGINES = 3;
    private static final int MODELS = 9;
    private static final int ADAPTERS = 6;
    private static final double MEMORY_MB = 100;
    private static final double LEAST_MODEL_MB = 22;
    private static final double MODEL_MB_RANGE = 24;
    private static final double ADAPTER_MB = 2;
    private static final int ADAPTER_SLOTS = 4;
    private static final int SLOTS = 4;
    private static final double LOADS_PER_SECOND = 5;

    private static final Duration DEMAND_PERIOD = Duration.ofMillis(150);
    private static final Duration HEARTBEAT_PERIOD = Duration.ofMillis(1_200);
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(150);
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);
    private static final int LONGEST_LIST_LAG_MILLIS = 300;
    private static final int LONGEST_LATENCY_MILLIS = 20;
    private static final int EARLIEST_LATE_MILLIS = 2_000;
    private static final int LATE_RANGE_MILLIS = 10_000;

    /** The entry of an upstream without heartbeats expires after this. */
    private static final Duration ENTRY_EXPIRY = HEARTBEAT_PERIOD.multipliedBy(3);

    private final TestControlThread world = new TestControlThread();
    private final Random random;
    private EngineSpec spec;
    private final InstantSource roundClock;
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final List<SimulatedOrderRouter> routers = new ArrayList<>();
    private final List<String> overloads = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final Instant startedAt = world.clock().instant();
    private final Map<UpstreamId, UpstreamFacts> entries = new TreeMap<>(ID_ORDER);
    private final LeasedStore store;
    private DirectConfiguration configuration;
    private double lateFraction;
    private double lostFraction;
    private long revision = 1;

    OrderSimulation(long seed, boolean checksSequences) {
        this.random = new Random(seed);
        this.spec = spec();
        this.roundClock = new SlowClock(world.clock(), seed);
        SimulatedEngine.OrderChecks checks =
                new SimulatedEngine.OrderChecks(random.nextBoolean(), checksSequences);
        for (int each = 0; each < ENGINES; each++) {
            engines.add(
                    new SimulatedEngine(
                            world, "engine-" + each, spec, checks, random, this::overloaded));
        }
        store = new LeasedStore(world);
        for (int each = 0; each < ROUTERS; each++) {
            routers.add(new SimulatedOrderRouter("router-" + each, world, store, this));
        }
        configure();
        engines.forEach(this::sendHeartbeat);
        world.every(DEMAND_PERIOD, this::reportDemand);
    }

    private EngineSpec spec() {
        Map<String, ModelSpec> models = new TreeMap<>();
        for (int each = 0; each < MODELS; each++) {
            String name = "m" + each;
            models.put(name, model(name));
        }
        return new EngineSpec(SLOTS, 1_000, MEMORY_MB, ADAPTER_SLOTS, LOADS_PER_SECOND, models);
    }

    private ModelSpec model(String name) {
        return new ModelSpec(
                name,
                LEAST_MODEL_MB + random.nextDouble() * MODEL_MB_RANGE,
                Duration.ofMillis(1_500),
                Duration.ofMillis(250),
                Duration.ofMillis(400),
                ADAPTER_MB);
    }

    private void configure() {
        ServiceSpec service =
                new ServiceSpec(SimulatedEngine.SERVICE, 1, Duration.ZERO, 0, Optional.of(spec));
        configuration =
                DirectConfiguration.builder(1, 1)
                        .services(Map.of(SimulatedEngine.SERVICE, service))
                        .build();
        routers.forEach(each -> each.configurationChanged(configuration));
    }

    /** From now on models have other sizes; upstreams keep what they hold as they loaded it. */
    void resizeModels() {
        Map<String, ModelSpec> models = new TreeMap<>(spec.models());
        models.replaceAll((name, model) -> random.nextBoolean() ? model(name) : model);
        spec = new EngineSpec(SLOTS, 1_000, MEMORY_MB, ADAPTER_SLOTS, LOADS_PER_SECOND, models);
        recordEvent("models have other sizes: " + models.values());
        configure();
    }

    /** Returns the overloads of upstreams, one line each. */
    List<String> overloads() {
        return overloads;
    }

    /** Returns the events so far, each with the milliseconds since the start. */
    List<String> events() {
        return events;
    }

    /** Returns a clock by which planning rounds take time, as they do on a weak VM. */
    InstantSource roundClock() {
        return roundClock;
    }

    List<SimulatedOrderRouter> routers() {
        return routers;
    }

    List<SimulatedEngine> engines() {
        return engines;
    }

    void advance(Duration duration) {
        world.advance(duration);
    }

    void after(Duration delay, Runnable step) {
        world.after(delay, step);
    }

    /** From now on this fraction of orders is carried out seconds later, and not answered. */
    void delayOrders(double fraction) {
        recordEvent("orders late: " + fraction);
        lateFraction = fraction;
    }

    /** From now on this fraction of answers to orders is lost. */
    void loseAnswers(double fraction) {
        recordEvent("answers lost: " + fraction);
        lostFraction = fraction;
    }

    /** Stops an upstream and starts it again under the same name. */
    void restart(SimulatedEngine engine, Duration down) {
        recordEvent(engine.id() + " restarts, down for " + down.toMillis());
        engine.restart(down);
        world.after(ENTRY_EXPIRY, () -> expireEntry(engine));
    }

    /** Kills a router, which starts again on the same VM and knows nothing. */
    void restart(SimulatedOrderRouter router, Duration down) {
        recordEvent(router.vm() + " is killed, down for " + down.toMillis());
        int index = routers.indexOf(router);
        router.kill();
        world.after(down, () -> startAgain(index, router));
    }

    private void startAgain(int index, SimulatedOrderRouter killed) {
        if (routers.get(index) != killed) {
            return;
        }
        SimulatedOrderRouter next =
                new SimulatedOrderRouter(killed.vm().value(), world, store, this);
        routers.set(index, next);
        next.configurationChanged(configuration);
        Map<UpstreamId, UpstreamFacts> read = Map.copyOf(entries);
        afterRandomDelay(LONGEST_LATENCY_MILLIS, () -> read.values().forEach(next::upstreamListed));
    }

    private void expireEntry(SimulatedEngine engine) {
        if (!engine.up()) {
            entries.remove(engine.id());
            long at = ++revision;
            afterRandomDelay(
                    LONGEST_LIST_LAG_MILLIS,
                    () -> routers.forEach(r -> r.upstreamRemoved(engine.id(), at)));
        }
    }

    /** Returns the calls from a router to the upstreams. */
    OrderClient callsOf(ControlThread router) {
        return new OrderClient() {
            @Override
            public void sendOrder(Upstream to, Dialect.Order order, Consumer<OrderOutcome> then) {
                Answer<OrderOutcome> answer = new Answer<>(router, then);
                router.after(ORDER_TIMEOUT, () -> answer.complete(OrderOutcome.UNKNOWN));
                send(engine(to.facts()), order, answer);
            }

            @Override
            public void requestReport(
                    Upstream from, Consumer<Optional<LoadInput.UpstreamReported>> then) {
                Answer<Optional<LoadInput.UpstreamReported>> answer = new Answer<>(router, then);
                router.after(REPORT_TIMEOUT, () -> answer.complete(Optional.empty()));
                deliver(
                        () ->
                                engine(from.facts())
                                        .report()
                                        .ifPresent(
                                                r ->
                                                        deliver(
                                                                () ->
                                                                        answer.complete(
                                                                                Optional.of(r)))));
            }
        };
    }

    /** Returns the sender of a router's announcements to the other routers. */
    LeaderAnnouncements announcementsOf(VmId from) {
        return new LeaderAnnouncements() {
            @Override
            public void announceHeldModels(long fencing, Map<UpstreamId, HeldModels> held) {}

            @Override
            public void announceUnansweredLoad(UnansweredLoadOrder load) {
                routers.stream()
                        .filter(each -> !each.vm().equals(from))
                        .forEach(each -> deliver(() -> each.unansweredLoadAnnounced(load)));
            }
        };
    }

    private void send(SimulatedEngine engine, Dialect.Order order, Answer<OrderOutcome> answer) {
        EngineSpec sizes = spec;
        if (random.nextDouble() < lateFraction) {
            Duration later =
                    Duration.ofMillis(EARLIEST_LATE_MILLIS + random.nextInt(LATE_RANGE_MILLIS));
            recordEvent(engine.id() + " gets late, in " + later.toMillis() + ": " + order);
            world.after(later, () -> engine.takeOrder(order, sizes));
            return;
        }
        boolean lost = random.nextDouble() < lostFraction;
        deliver(
                () -> {
                    Optional<OrderOutcome> outcome = engine.takeOrder(order, sizes);
                    recordEvent(
                            engine.id() + " " + outcome + (lost ? " (lost)" : "") + ": " + order);
                    outcome.filter(any -> !lost).ifPresent(o -> deliver(() -> answer.complete(o)));
                });
    }

    /** Passes on one answer, on the router's own thread, and drops any later one. */
    private static final class Answer<T> {
        private final ControlThread router;
        private final Consumer<T> then;
        private boolean done;

        Answer(ControlThread router, Consumer<T> then) {
            this.router = router;
            this.then = then;
        }

        void complete(T value) {
            router.run(
                    () -> {
                        if (!done) {
                            done = true;
                            then.accept(value);
                        }
                    });
        }
    }

    private void deliver(Runnable step) {
        afterRandomDelay(LONGEST_LATENCY_MILLIS, step);
    }

    private void afterRandomDelay(int maxMillis, Runnable step) {
        world.after(Duration.ofMillis(1 + random.nextInt(maxMillis)), step);
    }

    private SimulatedEngine engine(UpstreamFacts facts) {
        return engines.stream().filter(each -> each.id().equals(facts.id())).findFirst().get();
    }

    private void sendHeartbeat(SimulatedEngine engine) {
        if (engine.up()) {
            UpstreamFacts facts = engine.facts(++revision);
            entries.put(engine.id(), facts);
            routers.forEach(
                    router ->
                            afterRandomDelay(
                                    LONGEST_LIST_LAG_MILLIS, () -> router.upstreamListed(facts)));
        }
        world.after(HEARTBEAT_PERIOD, () -> sendHeartbeat(engine));
    }

    private void reportDemand() {
        List<LoadInput.ModelDemand> demands = new ArrayList<>();
        int count = 1 + random.nextInt(3);
        for (int each = 0; each < count; each++) {
            String model = "m" + random.nextInt(MODELS);
            String adapter = random.nextBoolean() ? "a" + random.nextInt(ADAPTERS) : "";
            demands.add(
                    new LoadInput.ModelDemand(
                            new ModelRef(model, adapter),
                            1 + random.nextInt(3),
                            Duration.ofMillis(random.nextInt(1_000)),
                            1,
                            random.nextDouble() * 2,
                            1));
        }
        for (SimulatedOrderRouter router : routers) {
            routers.forEach(
                    each ->
                            each.demandReported(
                                    new LoadInput.DemandReported(
                                            router.vm(), demands, Map.of(), Set.of())));
        }
    }

    private void overloaded(String what) {
        overloads.add(what);
        recordEvent("OVERLOADED: " + what);
    }

    void recordEvent(String what) {
        events.add(Duration.between(startedAt, world.clock().instant()).toMillis() + " " + what);
    }
}
