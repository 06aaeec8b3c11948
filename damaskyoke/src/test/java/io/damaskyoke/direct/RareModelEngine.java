package io.damaskyoke.direct;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import io.damaskyoke.control.loads.LoadAction;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.OrderOperation;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.http.Endpoint;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A simulated engine with a local disk. A model that it has loaded before loads quickly from the
 * disk, any other from the weight store. It executes one order at a time, and an unload waits until
 * the model's requests have finished.
 */
final class RareModelEngine {
    private final UpstreamId id;
    private final EngineSpec spec;
    private final SimulatedWeightStore store;
    private final Set<String> loaded = new HashSet<>();
    private final Set<String> diskCopies = new HashSet<>();
    private final Map<String, Integer> runCounts = new HashMap<>();
    private String unloading = "";
    private String loading = "";
    private Instant loadCompletesAt = Instant.MAX;
    private long sequence;
    private long revision;
    private long startedAt = 1;
    private boolean up = true;

    RareModelEngine(String name, EngineSpec spec, SimulatedWeightStore store) {
        this.id = UpstreamId.of(name);
        this.spec = spec;
        this.store = store;
    }

    UpstreamId id() {
        return id;
    }

    /** Loads a model before the simulated day, if there is enough memory. */
    boolean preload(String model) {
        if (loaded.contains(model) || usedMb() + weightMb(model) > spec.weightsMb()) {
            return false;
        }
        loaded.add(model);
        diskCopies.add(model);
        return true;
    }

    /** Puts a copy of a model on the disk before the simulated day. */
    void copyToDisk(String model) {
        diskCopies.add(model);
    }

    boolean serves(String model) {
        return loaded.contains(model) && !unloading.equals(model);
    }

    boolean isUp() {
        return up;
    }

    long startedAt() {
        return startedAt;
    }

    /** Loses what it holds and its runs; its disk stays. */
    void crash() {
        up = false;
        loaded.clear();
        runCounts.clear();
        unloading = "";
        loading = "";
        loadCompletesAt = Instant.MAX;
        sequence = 0;
    }

    /** Unloads all that it holds by one order. */
    void unloadAll() {
        loaded.clear();
        runCounts.clear();
        sequence++;
    }

    /** Starts again under its name. */
    void restart(long at) {
        up = true;
        startedAt = at;
    }

    void startRun(String model) {
        runCounts.merge(model, 1, Integer::sum);
    }

    void finishRun(String model) {
        runCounts.computeIfPresent(model, (any, count) -> count == 1 ? null : count - 1);
    }

    OrderOutcome execute(LoadAction.SendOrder order, Instant now) {
        if (isBusy() || order.sequence() != sequence) {
            return OrderOutcome.CONFLICT;
        }
        String model = order.model().model();
        if ((order.operation() == OrderOperation.LOAD) == loaded.contains(model)) {
            return OrderOutcome.DONE;
        }
        sequence++;
        if (order.operation() == OrderOperation.UNLOAD) {
            unloading = model;
            return OrderOutcome.ACCEPTED;
        }
        if (usedMb() + weightMb(model) > spec.weightsMb()) {
            throw new IllegalStateException(id + " has not enough memory for " + model);
        }
        loading = model;
        ModelSpec known = spec.models().get(model);
        if (diskCopies.contains(model)) {
            loadCompletesAt = now.plus(known.diskLoadTime());
        } else {
            store.startLoad(known.storeLoadTime(), () -> loadCompletesAt = Instant.MIN);
        }
        return OrderOutcome.ACCEPTED;
    }

    /** Completes the loads and unloads that are finished by now. */
    void completeOrders(Instant now) {
        if (!unloading.isEmpty() && !runCounts.containsKey(unloading)) {
            loaded.remove(unloading);
            unloading = "";
        }
        if (!loading.isEmpty() && !now.isBefore(loadCompletesAt)) {
            loaded.add(loading);
            diskCopies.add(loading);
            loading = "";
            loadCompletesAt = Instant.MAX;
        }
    }

    LoadInput.UpstreamReported report() {
        return new LoadInput.UpstreamReported(
                id,
                isBusy(),
                new HeldModels(startedAt, sequence, models()),
                Set.of(),
                Set.copyOf(diskCopies));
    }

    UpstreamFacts facts() {
        return new UpstreamFacts(
                id,
                ++revision,
                RareModelWorld.SERVICE,
                new Endpoint("127.0.0.1", 1),
                "a",
                spec.slots(),
                false,
                Duration.ZERO,
                new HeldModels(startedAt, HeldModels.UNKNOWN_SEQUENCE, models()),
                Set.of(),
                Set.copyOf(diskCopies));
    }

    boolean hasCopy(String model) {
        return loaded.contains(model) || diskCopies.contains(model);
    }

    private boolean isBusy() {
        return !loading.isEmpty() || !unloading.isEmpty();
    }

    private Map<String, Set<String>> models() {
        Map<String, Set<String>> models = new TreeMap<>();
        loaded.forEach(model -> models.put(model, Set.of()));
        return models;
    }

    private double usedMb() {
        return loaded.stream().mapToDouble(this::weightMb).sum();
    }

    private double weightMb(String model) {
        return spec.models().get(model).weightsMb();
    }
}
