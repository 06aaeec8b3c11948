package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.OrderOperation;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.http.Endpoint;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Simulates a model upstream that follows the order protocol: it takes one order at a time,
 * increments its sequence with each, and rejects an order with another sequence; unloads wait for
 * running requests; reports are out of date. A restart loses its memory, its sequence and its
 * fencing token; the name and the cached weights on disk remain. It reports each order to hold more
 * than it has capacity for.
 */
final class SimulatedEngine {
    static final String SERVICE = "engines";

    private static final int LONGEST_RUN_MILLIS = 900;
    private static final int LONGEST_ADAPTER_MILLIS = 60;
    private static final int LONGEST_REPORT_LAG_MILLIS = 250;
    private static final double ADAPTER_IN_USE_PROBABILITY = 0.3;

    private final ControlThread world;
    private final UpstreamId id;
    private final EngineSpec spec;
    private final Random random;
    private final boolean checksTokens;
    private final boolean checksSequences;
    private final Consumer<String> onOverload;
    private final Set<String> cachedOnDisk = new HashSet<>();
    private final List<State> history = new ArrayList<>();
    private final Map<String, Double> loadedMb = new TreeMap<>();
    private Map<String, Set<String>> held = new TreeMap<>();
    private Map<ModelRef, Boolean> loadingAdapters = new HashMap<>();
    private Optional<ModelRef> loading = Optional.empty();
    private boolean busy;
    private boolean up = true;
    private long sequence;
    private long highestToken;
    private long incarnation = 1;
    private long startedAt;

    private record State(Instant at, long incarnation, boolean busy, HeldModels held) {}

    /**
     * The checks that an upstream makes on orders.
     *
     * @param checksTokens whether it rejects a lower fencing token
     * @param checksSequences whether it rejects an order with another sequence; real upstreams
     *     always do, and false shows that upstreams are overloaded without that check
     */
    record OrderChecks(boolean checksTokens, boolean checksSequences) {}

    SimulatedEngine(
            ControlThread world,
            String name,
            EngineSpec spec,
            OrderChecks checks,
            Random random,
            Consumer<String> onOverload) {
        this.world = world;
        this.id = UpstreamId.of(name);
        this.spec = spec;
        this.checksTokens = checks.checksTokens();
        this.checksSequences = checks.checksSequences();
        this.random = random;
        this.onOverload = onOverload;
        this.startedAt = world.clock().millis();
        recordState();
    }

    UpstreamId id() {
        return id;
    }

    boolean up() {
        return up;
    }

    /** Returns the entry that the upstream writes into the platform's list. */
    UpstreamFacts facts(long revision) {
        return new UpstreamFacts(
                id,
                revision,
                SERVICE,
                new Endpoint("127.0.0.1", 1),
                "a",
                4,
                false,
                Duration.ZERO,
                new HeldModels(startedAt, HeldModels.UNKNOWN_SEQUENCE, held),
                Set.of(),
                Set.copyOf(cachedOnDisk));
    }

    /**
     * Carries out an order; empty if the upstream is down.
     *
     * @param sizes the configuration at the time at which the order was sent
     */
    Optional<OrderOutcome> takeOrder(Dialect.Order order, EngineSpec sizes) {
        if (!up) {
            return Optional.empty();
        }
        if (checksTokens && order.fencing() < highestToken) {
            return Optional.of(OrderOutcome.FENCED);
        }
        highestToken = Math.max(highestToken, order.fencing());
        if (busy || (checksSequences && order.sequence() != sequence)) {
            return Optional.of(OrderOutcome.CONFLICT);
        }
        boolean load = order.operation() == OrderOperation.LOAD;
        if (load == has(order.model())) {
            return Optional.of(OrderOutcome.DONE);
        }
        if (order.model().hasAdapter() && !held.containsKey(order.model().model())) {
            return Optional.of(OrderOutcome.REFUSED);
        }
        sequence++;
        OrderOutcome outcome = load ? load(order.model(), sizes) : unload(order.model());
        recordState();
        return Optional.of(outcome);
    }

    /** Returns a report that is some time old; empty if the upstream is down. */
    Optional<LoadInput.UpstreamReported> report() {
        if (!up) {
            return Optional.empty();
        }
        Instant asOf =
                world.clock().instant().minusMillis(random.nextInt(LONGEST_REPORT_LAG_MILLIS));
        State found = null;
        for (State each : history) {
            if (each.incarnation == incarnation && (found == null || !each.at.isAfter(asOf))) {
                found = each;
            }
        }
        return Optional.of(
                new LoadInput.UpstreamReported(
                        id, found.busy, found.held, Set.of(), Set.copyOf(cachedOnDisk)));
    }

    /** Stops, losing all models in memory, and starts again under the same name. */
    void restart(Duration down) {
        if (!up) {
            return;
        }
        up = false;
        incarnation++;
        world.after(down, this::start);
    }

    private void start() {
        up = true;
        held = new TreeMap<>();
        loadingAdapters = new HashMap<>();
        loading = Optional.empty();
        busy = false;
        sequence = 0;
        highestToken = 0;
        startedAt = world.clock().millis();
        recordState();
    }

    private boolean has(ModelRef model) {
        if (loadingAdapters.containsKey(model) || loading.filter(model::equals).isPresent()) {
            return true;
        }
        return new HeldModels(0, 0, held).contains(model);
    }

    private OrderOutcome load(ModelRef model, EngineSpec sizes) {
        if (!fits(model, sizes)) {
            onOverload.accept(id + " has no capacity for " + model + ", holds " + held);
            restart(Duration.ofSeconds(1));
            return OrderOutcome.ACCEPTED;
        }
        if (model.hasAdapter()) {
            loadingAdapters.put(model, true);
            afterRandomDelay(LONGEST_ADAPTER_MILLIS, () -> adapterLoaded(model));
            return OrderOutcome.ACCEPTED;
        }
        loading = Optional.of(model);
        loadedMb.put(model.model(), sizes.models().get(model.model()).weightsMb());
        busy = true;
        Duration time =
                cachedOnDisk.contains(model.model())
                        ? spec.models().get(model.model()).diskLoadTime()
                        : spec.models().get(model.model()).storeLoadTime();
        inThisIncarnation(time, () -> modelLoaded(model));
        return OrderOutcome.ACCEPTED;
    }

    private OrderOutcome unload(ModelRef model) {
        if (!model.hasAdapter()) {
            busy = true;
            afterRandomDelay(LONGEST_RUN_MILLIS, () -> modelUnloaded(model));
            return OrderOutcome.ACCEPTED;
        }
        if (random.nextDouble() < ADAPTER_IN_USE_PROBABILITY) {
            afterRandomDelay(LONGEST_RUN_MILLIS, () -> adapterUnloaded(model));
            return OrderOutcome.ACCEPTED;
        }
        removeAdapter(model);
        return OrderOutcome.DONE;
    }

    private boolean fits(ModelRef model, EngineSpec sizes) {
        if (model.hasAdapter() && adapterCount() >= spec.adapterSlots()) {
            return false;
        }
        return usedMb() + weightMb(model, sizes) <= spec.weightsMb();
    }

    private int adapterCount() {
        return loadingAdapters.size() + held.values().stream().mapToInt(Set::size).sum();
    }

    private double usedMb() {
        double used = 0;
        for (Map.Entry<String, Set<String>> entry : held.entrySet()) {
            used += loadedMb.get(entry.getKey());
            used += entry.getValue().size() * spec.models().get(entry.getKey()).adapterMb();
        }
        for (ModelRef each : loadingAdapters.keySet()) {
            used += weightMb(each, spec);
        }
        return used;
    }

    private static double weightMb(ModelRef model, EngineSpec sizes) {
        var known = sizes.models().get(model.model());
        return model.hasAdapter() ? known.adapterMb() : known.weightsMb();
    }

    private void adapterLoaded(ModelRef adapter) {
        loadingAdapters.remove(adapter);
        if (held.containsKey(adapter.model())) {
            held = new HeldModels(0, 0, held).with(adapter, 0).adapters();
        }
    }

    private void modelLoaded(ModelRef model) {
        busy = false;
        loading = Optional.empty();
        held = new HeldModels(0, 0, held).with(model, 0).adapters();
        cachedOnDisk.add(model.model());
    }

    private void modelUnloaded(ModelRef model) {
        busy = false;
        held = new HeldModels(0, 0, held).without(model, 0).adapters();
        loadingAdapters.keySet().removeIf(each -> each.model().equals(model.model()));
    }

    private void adapterUnloaded(ModelRef adapter) {
        removeAdapter(adapter);
    }

    private void removeAdapter(ModelRef adapter) {
        loadingAdapters.remove(adapter);
        held = new HeldModels(0, 0, held).without(adapter, 0).adapters();
    }

    private void afterRandomDelay(int maxMillis, Runnable step) {
        inThisIncarnation(Duration.ofMillis(random.nextInt(maxMillis)), step);
    }

    private void inThisIncarnation(Duration delay, Runnable step) {
        long started = incarnation;
        world.after(
                delay,
                () -> {
                    if (started == incarnation) {
                        step.run();
                        recordState();
                    }
                });
    }

    // Adapters that are being loaded are reported as held, as the upstream's protocol has it.
    private void recordState() {
        HeldModels all = new HeldModels(startedAt, sequence, held);
        for (ModelRef each : loadingAdapters.keySet()) {
            all = all.with(each, sequence);
        }
        history.add(new State(world.clock().instant(), incarnation, busy, all));
    }
}
