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
 * The real planner and the real queues of one router for all callers, before engines that hold two
 * thirds of the models, over a day of a minute, with time by hand. Some leaders give the orders one
 * after the other. Who asked for what, and who was served, is counted.
 */
final class RareModelWorld {
    static final String SERVICE = "engines";

    private static final double LARGE_MB = 34_300;
    private static final double SMALL_MB = 16_100;
    private static final double ENGINE_MB = 83_000;
    private static final Duration FROM_STORE = Duration.ofMillis(7_800);
    private static final Duration FROM_MEMORY = Duration.ofMillis(700);
    private static final Duration FROM_DISK = Duration.ofMillis(1_000);
    private static final int SLOTS = 64;
    private static final double MODELS_PER_ENGINE = 4.6;
    private static final double BUSY_PART = 0.15;

    /** Requests a second at an engine: for models that are busy, and for all others evenly. */
    private static final double BUSY_PER_SECOND = 2.5;

    private static final double RARE_PER_SECOND = 0.4;

    /** Of the models that no engine holds at the start, those of which one has a copy. */
    private static final double ON_A_DISK = 0.75;

    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration DEMAND = Duration.ofMillis(100);
    private static final Duration HEARTBEAT = Duration.ofMillis(1_200);
    private static final Duration BUSY_WAIT = Duration.ofMillis(1_900);
    private static final Duration RARE_WAIT = Duration.ofMillis(8_000);
    private static final Duration COME_BACK = Duration.ofMillis(1_500);
    private static final Duration ASK_AGAIN = Duration.ofMillis(120);
    private static final int LONGEST_RUN_MILLIS = 3_600;

    /** Asked for as often as this over this time, a model should have been served. */
    private static final int OFTEN = 4;

    private static final Duration LONG = Duration.ofSeconds(8);

    private final Random random;
    private final EngineSpec spec;
    private final SimulatedWeightStore weights;
    private final Map<UpstreamId, RareModelEngine> engines = new TreeMap<>();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final Dispatch dispatch;
    private final Map<String, Count> counts = new TreeMap<>();
    private final TestControlThread time = new TestControlThread();
    private LoadPlanner planner = new LoadPlanner(LoadSettings.defaults());
    private boolean led;
    private int served;
    private int asked;

    private static final class Count {
        private int asked;
        private int served;
        private Instant first;
        private Instant last;
    }

    RareModelWorld(int count, int atFullSpeed, long seed) {
        this.random = new Random(seed);
        this.weights = new SimulatedWeightStore(atFullSpeed);
        this.spec = spec((int) (count * MODELS_PER_ENGINE));
        this.dispatch =
                new Dispatch(
                        upstreams, "a", Map.of(), this::now, Runnable::run, (id, all) -> (int) all);
        dispatch.configured(
                List.of(new ServiceSpec(SERVICE, 1, Duration.ZERO, 0, Optional.of(spec))));
        for (int each = 0; each < count; each++) {
            RareModelEngine engine =
                    new RareModelEngine(String.format("engine-%03d", each), spec, weights);
            engines.put(engine.id(), engine);
        }
        placeAtStart();
        engines.values().forEach(engine -> upstreams.put(engine.facts(), now()));
        time.every(HEARTBEAT, this::beat);
        time.every(DEMAND, this::demand);
    }

    private static EngineSpec spec(int models) {
        Map<String, ModelSpec> all = new TreeMap<>();
        for (int each = 0; each < models; each++) {
            String name = name(each);
            double weight = each % 9 < 5 ? LARGE_MB : SMALL_MB;
            all.put(name, new ModelSpec(name, weight, FROM_STORE, FROM_MEMORY, FROM_DISK, 40));
        }
        return new EngineSpec(SLOTS, 100_000, ENGINE_MB, 8, 18, all);
    }

    private static String name(int model) {
        return String.format("m%03d", model);
    }

    private int busyModels() {
        return Math.max(1, (int) (spec.models().size() * BUSY_PART));
    }

    // Busy models are on three engines each, the others on one as far as there is room, and most of
    // the rest on a disk.
    private void placeAtStart() {
        List<RareModelEngine> all = new ArrayList<>(engines.values());
        int next = 0;
        for (int model = 0; model < spec.models().size(); model++) {
            int replicas = model < busyModels() ? Math.min(3, all.size()) : 1;
            boolean placed = false;
            for (int replica = 0; replica < replicas; replica++) {
                for (int tried = 0; tried < all.size(); tried++) {
                    if (all.get(next++ % all.size()).place(name(model))) {
                        placed = true;
                        break;
                    }
                }
            }
            if (!placed && random.nextDouble() < ON_A_DISK) {
                all.get(next++ % all.size()).copy(name(model));
            }
        }
    }

    /** The most loads from the store that ran beside each other. */
    int mostLoadsAtOnce() {
        return weights.maxConcurrentLoads();
    }

    /** Models that no engine has a copy of. */
    private long withoutCopy() {
        return spec.models().keySet().stream()
                .filter(model -> engines.values().stream().noneMatch(e -> e.hasCopy(model)))
                .count();
    }

    /** Another router gives the orders from now on. */
    void lead() {
        planner = new LoadPlanner(LoadSettings.defaults());
        led = true;
        feed(new LoadInput.ServicesConfigured(Map.of(SERVICE, spec)));
        engines.values().forEach(engine -> feed(new LoadInput.UpstreamListed(engine.facts())));
        feed(new LoadInput.Elected());
    }

    /** Nobody gives orders. */
    void leaderless() {
        led = false;
    }

    /** Callers come from now on. */
    void open(Duration day) {
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
                        new Caller(model(busy), busy ? BUSY_WAIT : RARE_WAIT, false).ask();
                        arrivals(perSecond, end, busy);
                    }
                });
    }

    private String model(boolean busy) {
        int many = busyModels();
        if (!busy) {
            return name(many + random.nextInt(spec.models().size() - many));
        }
        double place = random.nextDouble();
        return name((int) (many * place * place));
    }

    void pass(Duration duration) {
        Instant end = now().plus(duration);
        while (now().isBefore(end)) {
            time.advance(STEP);
            weights.advance(STEP);
            engines.values().forEach(engine -> engine.pass(now()));
            if (now().toEpochMilli() % 20 == 0) {
                feed(new LoadInput.Tick());
            }
            if (now().toEpochMilli() % 50 == 0) {
                dispatch.tick();
            }
        }
    }

    private void beat() {
        for (RareModelEngine engine : engines.values()) {
            upstreams.put(engine.facts(), now());
            feed(new LoadInput.UpstreamListed(engine.facts()));
        }
    }

    private void demand() {
        feed(dispatch.demand(VmId.of("router")));
    }

    private void feed(LoadInput input) {
        if (led) {
            planner.on(input, now()).forEach(this::carryOut);
        }
    }

    private void carryOut(LoadAction action) {
        LoadPlanner by = planner;
        if (action instanceof LoadAction.SendOrder order) {
            time.after(
                    Duration.ofMillis(2),
                    () -> {
                        var outcome = engines.get(order.upstream()).take(order, now());
                        answer(
                                by,
                                new LoadInput.OrderAnswered(
                                        order.upstream(), order.number(), outcome));
                    });
        } else if (action instanceof LoadAction.RequestReport ask) {
            time.after(
                    Duration.ofMillis(3), () -> answer(by, engines.get(ask.upstream()).report()));
        } else if (action instanceof LoadAction.AnnounceHeldModels tell) {
            upstreams
                    .find(tell.upstream())
                    .ifPresent(each -> each.leaderAnnounced(tell.held(), now()));
            dispatch.tick();
        }
    }

    private void answer(LoadPlanner to, LoadInput input) {
        if (to == planner) {
            feed(input);
        }
    }

    private Instant now() {
        return time.clock().instant();
    }

    /** Models that were asked for often and long, and never served. */
    List<String> neverServed() {
        return counts.entrySet().stream()
                .filter(entry -> often(entry.getValue()) && entry.getValue().served == 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Models that were asked for often and long. */
    long askedForOften() {
        return counts.values().stream().filter(RareModelWorld::often).count();
    }

    private static boolean often(Count count) {
        return count.asked >= OFTEN && !count.last.isBefore(count.first.plus(LONG));
    }

    /** The part of all callers that were served, at once or when they came back. */
    double served() {
        return served / (double) asked;
    }

    @Override
    public String toString() {
        return String.format(
                "%d of %d models never served, %.3f of %d callers served, %d loads from the"
                        + " store, %d at once, %d models without a copy",
                neverServed().size(),
                askedForOften(),
                served(),
                asked,
                weights.loadsStarted(),
                mostLoadsAtOnce(),
                withoutCopy());
    }

    /** One request; refused, its caller comes back once. */
    private final class Caller extends PlainRequest {
        private final ModelRef model;
        private final Duration wait;
        private final boolean again;
        private final Map<UpstreamId, Instant> tried = new HashMap<>();

        Caller(String name, Duration wait, boolean again) {
            super(SERVICE, now(), wait);
            this.model = new ModelRef(name, "");
            this.wait = wait;
            this.again = again;
        }

        void ask() {
            Count count = counts.computeIfAbsent(model.model(), any -> new Count());
            count.asked++;
            count.first = count.first == null ? now() : count.first;
            count.last = now();
            asked += again ? 0 : 1;
            dispatch.arrived(model);
            dispatch.enqueue(this);
        }

        @Override
        public Optional<ModelRef> model() {
            return Optional.of(model);
        }

        @Override
        public Instant inTimeUntil() {
            return since().plus(wait.dividedBy(4));
        }

        @Override
        public Set<UpstreamId> tried() {
            tried.values().removeIf(until -> !now().isBefore(until));
            return tried.keySet();
        }

        @Override
        public void sendTo(Upstream upstream) {
            RareModelEngine engine = engines.get(upstream.facts().id());
            if (!engine.serves(model.model())) {
                upstream.leaderContradicted();
                tried.put(engine.id(), now().plus(ASK_AGAIN));
                dispatch.enqueue(this);
                return;
            }
            upstream.requestAssigned(model, now());
            upstream.requestSent(now());
            engine.begins(model.model());
            counts.get(model.model()).served++;
            served++;
            time.after(
                    Duration.ofMillis(200 + random.nextInt(LONGEST_RUN_MILLIS)),
                    () -> {
                        engine.ends(model.model());
                        upstream.requestFinished(model);
                        dispatch.drain(SERVICE);
                    });
        }

        @Override
        public void waitedInVain() {
            if (!again) {
                time.after(COME_BACK, () -> new Caller(model.model(), wait, true).ask());
            }
        }
    }
}
