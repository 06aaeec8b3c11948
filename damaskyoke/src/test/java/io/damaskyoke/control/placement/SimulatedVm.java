package io.damaskyoke.control.placement;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.replicas.ModelGrants;
import io.damaskyoke.control.replicas.ReplicaAction;
import io.damaskyoke.control.replicas.ReplicaInput;
import io.damaskyoke.control.replicas.ReplicaManager;
import io.damaskyoke.control.replicas.ReplicaSettings;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.upstream.Engine;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** A simulated VM: an engine that ignores fencing tokens, and an agent beside it that can crash. */
final class SimulatedVm {
    static final long MEMORY = 100;
    private static final int LAG = 7;

    final VmId id;
    final AvailabilityZone zone;
    private final PlacementSimulation world;
    private final Map<ModelName, Model> held = new TreeMap<>();
    private final Map<ModelName, Job> jobs = new TreeMap<>();
    private final List<Engine.Report> history = new ArrayList<>();
    private final List<Use> uses = new ArrayList<>();
    private ReplicaManager holder;
    private PlacementTable table;
    private int agentDownFor;
    private int vmDownFor;
    private int life;
    private final Map<ExchangeId, Instant> waiting = new HashMap<>();

    private record Use(ModelName model, Instant end) {}

    private record Job(Model model, boolean load, Instant end, int life) {}

    SimulatedVm(PlacementSimulation world, VmId id, AvailabilityZone zone) {
        this.world = world;
        this.id = id;
        this.zone = zone;
        startAgent();
    }

    boolean isUp() {
        return vmDownFor == 0;
    }

    boolean isAgentUp() {
        return isUp() && agentDownFor == 0;
    }

    boolean holds(ModelName model) {
        return held.containsKey(model) || jobs.containsKey(model);
    }

    long usedBytes() {
        long loading =
                jobs.values().stream()
                        .filter(Job::load)
                        .mapToLong(job -> job.model.memoryBytes())
                        .sum();
        return loading + held.values().stream().mapToLong(Model::memoryBytes).sum();
    }

    /** Crashes the agent; its orders continue at the engine. */
    void crashAgent() {
        agentDownFor = 1 + world.random.nextInt(40);
        life++;
        waiting.clear();
    }

    /** Stops the whole VM for some steps; it comes back empty under its old name. */
    void stop(int steps) {
        vmDownFor = steps;
        life++;
        waiting.clear();
        held.clear();
        jobs.clear();
    }

    void recover() {
        vmDownFor = Math.min(vmDownFor, 1);
        agentDownFor = Math.min(agentDownFor, 1);
    }

    void addViolations(List<String> found) {
        if (usedBytes() > MEMORY) {
            found.add("engine over its memory: " + id + " uses " + usedBytes());
        }
        waiting.forEach(
                (request, deadline) -> {
                    if (deadline.isBefore(world.now)) {
                        found.add(
                                "request "
                                        + request
                                        + " still waits at "
                                        + id
                                        + " after its deadline "
                                        + deadline);
                    }
                });
    }

    void queueRequest(ModelName model) {
        if (isAgentUp()) {
            ExchangeId request = new ExchangeId(Incarnation.of("r"), world.requests++);
            Instant deadline = world.now.plusSeconds(20);
            waiting.put(request, deadline);
            feed(new ReplicaInput.RequestQueued(request, model, deadline, WorkspaceId.of("w")));
        }
    }

    void step() {
        if (vmDownFor > 0) {
            vmDownFor--;
            agentDownFor = 1;
            history.clear();
            return;
        }
        endJobs();
        history.add(truth());
        if (agentDownFor > 0) {
            agentDownFor--;
            if (agentDownFor == 0) {
                startAgent();
            }
            return;
        }
        if (world.random.nextInt(4) == 0) {
            world.store.read().thenAccept(this::take);
        }
        if (table.isRead() && world.random.nextInt(4) == 0) {
            int age = world.random.nextInt(Math.min(LAG, history.size()));
            feed(new ReplicaInput.EngineReported(history.get(history.size() - 1 - age)));
        }
        endUses();
        feed(new ReplicaInput.Tick());
        handBack();
    }

    private void endUses() {
        for (Use use : List.copyOf(uses)) {
            if (!use.end.isAfter(world.now)) {
                uses.remove(use);
                feed(new ReplicaInput.RequestFinished(use.model));
            }
        }
    }

    private void startAgent() {
        uses.clear();
        holder = new ReplicaManager(ReplicaSettings.defaults());
        table = PlacementTable.UNREAD;
        feed(new ReplicaInput.ModelsConfigured(world.models));
        if (world.ownView()) {
            feed(new ReplicaInput.GrantsChanged(ModelGrants.all(life + 1)));
        }
    }

    private void take(PlacementTable newer) {
        if (newer.revision() < table.revision()) {
            return;
        }
        table = newer;
        if (!world.ownView()) {
            Map<ModelName, Long> rights = new TreeMap<>();
            newer.grantsOf(id).stream()
                    .filter(ReplicaGrant::usable)
                    .forEach(right -> rights.put(right.model(), right.fencing()));
            feed(new ReplicaInput.GrantsChanged(ModelGrants.of(rights)));
        }
    }

    private void handBack() {
        table.shards()
                .forEach(
                        (number, stored) -> {
                            Shard changed = handedBack(stored.shard());
                            if (!changed.equals(stored.shard())) {
                                world.store.changeGrants(number, stored, id, read -> changed);
                            }
                        });
    }

    private Shard handedBack(Shard shard) {
        boolean clears = world.policy != PlacementPolicy.TIMEOUT_ONLY;
        return shard.without(right -> mine(right) && isReleased(right))
                .map(right -> mine(right) && clears ? right.withoutSuspicion() : right);
    }

    private boolean mine(ReplicaGrant right) {
        return right.vm().equals(id);
    }

    private boolean isReleased(ReplicaGrant right) {
        boolean blind = world.policy == PlacementPolicy.BLIND_RELEASE;
        return right.releasing() && (blind || holder.holdsNothingOf(right.model()));
    }

    private void feed(ReplicaInput input) {
        holder.on(input, world.now).forEach(this::carryOut);
    }

    private void carryOut(ReplicaAction action) {
        if (action instanceof ReplicaAction.LoadModel load) {
            Instant end = world.now.plusMillis(1_000 + world.random.nextInt(4_000));
            jobs.put(load.model().name(), new Job(load.model(), true, end, life));
        } else if (action instanceof ReplicaAction.UnloadModel unload) {
            Instant end = world.now.plusMillis(250);
            Model model = world.models.get(unload.model());
            jobs.put(unload.model(), new Job(model, false, end, life));
        } else if (action instanceof ReplicaAction.RefuseRequest refuse) {
            waiting.remove(refuse.request());
        } else if (action instanceof ReplicaAction.SendRequest ready) {
            waiting.remove(ready.request());
            world.served++;
            Instant end = world.now.plusMillis(world.random.nextInt(10_000));
            uses.add(new Use(ready.model(), end));
        }
    }

    private void endJobs() {
        for (Job job : List.copyOf(jobs.values())) {
            ModelName name = job.model.name();
            if (job.end.isAfter(world.now)) {
                continue;
            }
            jobs.remove(name);
            if (job.load) {
                held.put(name, job.model);
            } else {
                held.remove(name);
            }
            if (job.life == life && isAgentUp()) {
                feed(answer(job, name));
            }
        }
    }

    private ReplicaInput answer(Job job, ModelName name) {
        boolean lost = world.faults && world.random.nextInt(6) == 0;
        if (job.load) {
            return lost ? new ReplicaInput.LoadFailed(name, true) : new ReplicaInput.Loaded(name);
        }
        return lost ? new ReplicaInput.UnloadFailed(name) : new ReplicaInput.Unloaded(name);
    }

    private Engine.Report truth() {
        List<Engine.Held> loading =
                jobs.values().stream().filter(Job::load).map(job -> heldAs(job.model)).toList();
        List<Engine.Held> loaded = held.values().stream().map(SimulatedVm::heldAs).toList();
        return new Engine.Report(MEMORY, usedBytes(), loaded, loading, List.of(), 0, 0);
    }

    private static Engine.Held heldAs(Model model) {
        return new Engine.Held(model.name(), model.memoryBytes(), Optional.of(model.version()));
    }
}
