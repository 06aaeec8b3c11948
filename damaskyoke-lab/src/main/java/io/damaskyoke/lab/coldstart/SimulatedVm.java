package io.damaskyoke.lab.coldstart;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.replicas.ModelGrants;
import io.damaskyoke.control.replicas.ReplicaAction;
import io.damaskyoke.control.replicas.ReplicaInput;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.upstream.Engine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

/** An engine with its agent's machine; knows what is really in memory, and counts idle time. */
final class SimulatedVm {
    static final long MEMORY = 80 * Workload.GIB;
    static final long DISK = 240 * Workload.GIB;
    static final int ACCELERATORS = 4;
    private static final int REPORT_EVERY = 10;

    final VmId id;
    final AvailabilityZone zone;
    final Map<ModelName, Model> held = new TreeMap<>();
    final Map<ModelName, SimulatedStore.Transfer> loading = new TreeMap<>();
    private final Map<ModelName, Integer> uses = new TreeMap<>();
    private final LinkedHashMap<ModelName, Long> disk = new LinkedHashMap<>(16, 0.75f, true);
    private final List<ModelName> unloading = new ArrayList<>();
    private final ColdStartRun run;
    private final Supplier<StateMachine<ReplicaInput, ReplicaAction>> maker;
    private StateMachine<ReplicaInput, ReplicaAction> holder;
    private int steps;
    boolean up = true;
    double idleHours;

    SimulatedVm(
            ColdStartRun run,
            VmId id,
            AvailabilityZone zone,
            Supplier<StateMachine<ReplicaInput, ReplicaAction>> maker) {
        this.run = run;
        this.id = id;
        this.zone = zone;
        this.maker = maker;
        start();
    }

    void start() {
        up = true;
        holder = maker.get();
        feed(new ReplicaInput.ModelsConfigured(run.workload.models));
    }

    void lose() {
        up = false;
        held.clear();
        uses.clear();
        disk.clear();
        unloading.clear();
        loading.values().forEach(run.store::cancel);
        loading.clear();
    }

    void rights(ModelGrants rights) {
        feed(new ReplicaInput.GrantsChanged(rights));
    }

    void step(long millis) {
        endLoads();
        endUnloads();
        if (steps++ % REPORT_EVERY == 0) {
            feed(new ReplicaInput.EngineReported(report()));
        }
        if (steps % 2 == 0) {
            feed(new ReplicaInput.Tick());
        }
        for (Model model : held.values()) {
            if (uses.getOrDefault(model.name(), 0) == 0) {
                double part = (double) model.memoryBytes() / MEMORY;
                idleHours += part * ACCELERATORS * millis / 3_600_000.0;
            }
        }
    }

    void finished(ModelName model) {
        if (up && uses.getOrDefault(model, 0) > 0) {
            uses.merge(model, -1, Integer::sum);
            feed(new ReplicaInput.RequestFinished(model));
        }
    }

    boolean serves(Model model) {
        return held.containsKey(model.name()) && model.base().map(held::containsKey).orElse(true);
    }

    long usedBytes() {
        return sum(held.values()) + sum(loading.values().stream().map(each -> each.model).toList());
    }

    void feed(ReplicaInput input) {
        for (ReplicaAction action : holder.on(input, run.instant())) {
            carryOut(action);
        }
    }

    private void carryOut(ReplicaAction action) {
        if (action instanceof ReplicaAction.LoadModel load) {
            Model model = load.model();
            boolean cached = disk.get(model.name()) != null;
            SimulatedStore.Transfer transfer = new SimulatedStore.Transfer(model, cached);
            loading.put(model.name(), transfer);
            run.store.begin(transfer);
        } else if (action instanceof ReplicaAction.UnloadModel unload) {
            unloading.add(unload.model());
        } else if (action instanceof ReplicaAction.SendRequest ready) {
            uses.merge(ready.model(), 1, Integer::sum);
            run.ready(this, ready.request());
        } else if (action instanceof ReplicaAction.RefuseRequest refuse) {
            run.refused(this, refuse.request());
        }
    }

    private void endLoads() {
        for (SimulatedStore.Transfer each : List.copyOf(loading.values())) {
            if (each.done()) {
                ModelName name = each.model.name();
                loading.remove(name);
                held.put(name, each.model);
                cache(each.model);
                feed(new ReplicaInput.Loaded(name));
            }
        }
    }

    private void endUnloads() {
        List<ModelName> now = List.copyOf(unloading);
        unloading.clear();
        for (ModelName name : now) {
            held.remove(name);
            feed(new ReplicaInput.Unloaded(name));
        }
    }

    private void cache(Model model) {
        disk.put(model.name(), model.memoryBytes());
        long used = disk.values().stream().mapToLong(Long::longValue).sum();
        while (used > DISK) {
            ModelName oldest = disk.keySet().iterator().next();
            used -= disk.remove(oldest);
        }
    }

    private Engine.Report report() {
        List<Engine.Held> inLoad =
                loading.values().stream().map(each -> heldAs(each.model)).toList();
        List<Engine.Held> loaded = held.values().stream().map(SimulatedVm::heldAs).toList();
        return new Engine.Report(
                MEMORY, usedBytes(), loaded, inLoad, List.copyOf(disk.keySet()), 0, 0);
    }

    private static Engine.Held heldAs(Model model) {
        return new Engine.Held(model.name(), model.memoryBytes(), Optional.of(model.version()));
    }

    private static long sum(Iterable<Model> models) {
        long bytes = 0;
        for (Model model : models) {
            bytes += model.memoryBytes();
        }
        return bytes;
    }
}
