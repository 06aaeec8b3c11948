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
 * An engine with a disk: what it has loaded once comes from there in a moment, all else from the
 * weight store. One order at a time; an unload waits for the model's runs.
 */
final class RareModelEngine {
    private final UpstreamId id;
    private final EngineSpec spec;
    private final SimulatedWeightStore store;
    private final Set<String> held = new HashSet<>();
    private final Set<String> disk = new HashSet<>();
    private final Map<String, Integer> running = new HashMap<>();
    private String unloading = "";
    private String loading = "";
    private Instant loadedAt = Instant.MAX;
    private long sequence;
    private long revision;

    RareModelEngine(String name, EngineSpec spec, SimulatedWeightStore store) {
        this.id = UpstreamId.of(name);
        this.spec = spec;
        this.store = store;
    }

    UpstreamId id() {
        return id;
    }

    /** Puts a model there before the day begins, if there is room. */
    boolean place(String model) {
        if (held.contains(model) || used() + weight(model) > spec.weightsMb()) {
            return false;
        }
        held.add(model);
        disk.add(model);
        return true;
    }

    /** Puts a copy on its disk before the day begins. */
    void copy(String model) {
        disk.add(model);
    }

    boolean serves(String model) {
        return held.contains(model) && !unloading.equals(model);
    }

    void begins(String model) {
        running.merge(model, 1, Integer::sum);
    }

    void ends(String model) {
        running.computeIfPresent(model, (any, count) -> count == 1 ? null : count - 1);
    }

    OrderOutcome take(LoadAction.SendOrder order, Instant now) {
        if (busy() || order.sequence() != sequence) {
            return OrderOutcome.CONFLICT;
        }
        String model = order.model().model();
        if ((order.operation() == OrderOperation.LOAD) == held.contains(model)) {
            return OrderOutcome.DONE;
        }
        sequence++;
        if (order.operation() == OrderOperation.UNLOAD) {
            unloading = model;
            return OrderOutcome.ACCEPTED;
        }
        if (used() + weight(model) > spec.weightsMb()) {
            throw new IllegalStateException(id + " has no room for " + model);
        }
        loading = model;
        ModelSpec known = spec.models().get(model);
        if (disk.contains(model)) {
            loadedAt = now.plus(known.diskLoadTime());
        } else {
            store.startLoad(known.storeLoadTime(), () -> loadedAt = Instant.MIN);
        }
        return OrderOutcome.ACCEPTED;
    }

    /** What is over by now comes into effect. */
    void pass(Instant now) {
        if (!unloading.isEmpty() && !running.containsKey(unloading)) {
            held.remove(unloading);
            unloading = "";
        }
        if (!loading.isEmpty() && !now.isBefore(loadedAt)) {
            held.add(loading);
            disk.add(loading);
            loading = "";
            loadedAt = Instant.MAX;
        }
    }

    LoadInput.UpstreamReported report() {
        return new LoadInput.UpstreamReported(
                id, busy(), new HeldModels(1, sequence, models()), Set.of(), Set.copyOf(disk));
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
                new HeldModels(1, HeldModels.UNKNOWN_SEQUENCE, models()),
                Set.of(),
                Set.copyOf(disk));
    }

    boolean hasCopy(String model) {
        return held.contains(model) || disk.contains(model);
    }

    private boolean busy() {
        return !loading.isEmpty() || !unloading.isEmpty();
    }

    private Map<String, Set<String>> models() {
        Map<String, Set<String>> models = new TreeMap<>();
        held.forEach(model -> models.put(model, Set.of()));
        return models;
    }

    private double used() {
        return held.stream().mapToDouble(this::weight).sum();
    }

    private double weight(String model) {
        return spec.models().get(model).weightsMb();
    }
}
