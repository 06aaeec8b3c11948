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
    private static final int MAX_REPORT_AGE_STEPS = 7;

    final VmId id;
    final AvailabilityZone zone;
    private final PlacementSimulation simulation;
    private final Map<ModelName, Model> held = new TreeMap<>();
    private final Map<ModelName, Job> jobs = new TreeMap<>();
    private final List<Engine.Report> history = new ArrayList<>();
    private final List<Use> uses = new ArrayList<>();
    private ReplicaManager manager;
    private PlacementTable table;
    private int agentDownSteps;
    private int vmDownSteps;
    private int incarnation;
    private final Map<ExchangeId, Instant> waiting = new HashMap<>();

    private record Use(ModelName model, Instant end) {}

    private record Job(Model model, boolean load, Instant end, int incarnation) {}

    SimulatedVm(PlacementSimulation simulation, VmId id, AvailabilityZone zone) {
        this.simulation = simulation;
        this.id = id;
        this.zone = zone;
        startAgent();
    }

    boolean isUp() {
        return vmDownSteps == 0;
    }

    boolean isAgentUp() {
        return isUp() && agentDownSteps == 0;
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
        agentDownSteps = 1 + simulation.random.nextInt(40);
        incarnation++;
        waiting.clear();
    }

    /** Stops the whole VM for some steps; it comes back empty under its old name. */
    void stop(int steps) {
        vmDownSteps = steps;
        incarnation++;
        waiting.clear();
        held.clear();
        jobs.clear();
    }

    void recover() {
        vmDownSteps = Math.min(vmDownSteps, 1);
        agentDownSteps = Math.min(agentDownSteps, 1);
    }

    void addViolations(List<String> found) {
        if (usedBytes() > MEMORY) {
            found.add("engine over its memory: " + id + " uses " + usedBytes());
        }
        waiting.forEach(
                (request, deadline) -> {
                    if (deadline.isBefore(simulation.now)) {
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
            ExchangeId request = new ExchangeId(Incarnation.of("r"), simulation.requests++);
            Instant deadline = simulation.now.plusSeconds(20);
            waiting.put(request, deadline);
            feed(new ReplicaInput.RequestQueued(request, model, deadline, WorkspaceId.of("w")));
        }
    }

    void step() {
        if (vmDownSteps > 0) {
            vmDownSteps--;
            agentDownSteps = 1;
            history.clear();
            return;
        }
        endJobs();
        history.add(trueReport());
        if (agentDownSteps > 0) {
            agentDownSteps--;
            if (agentDownSteps == 0) {
                startAgent();
            }
            return;
        }
        if (simulation.random.nextInt(4) == 0) {
            simulation.store.read().thenAccept(this::update);
        }
        if (table.isRead() && simulation.random.nextInt(4) == 0) {
            int age = simulation.random.nextInt(Math.min(MAX_REPORT_AGE_STEPS, history.size()));
            feed(new ReplicaInput.EngineReported(history.get(history.size() - 1 - age)));
        }
        endUses();
        feed(new ReplicaInput.Tick());
        releaseGrants();
    }

    private void endUses() {
        for (Use use : List.copyOf(uses)) {
            if (!use.end.isAfter(simulation.now)) {
                uses.remove(use);
                feed(new ReplicaInput.RequestFinished(use.model));
            }
        }
    }

    private void startAgent() {
        uses.clear();
        manager = new ReplicaManager(ReplicaSettings.defaults());
        table = PlacementTable.UNREAD;
        feed(new ReplicaInput.ModelsConfigured(simulation.models));
        if (simulation.ownView()) {
            feed(new ReplicaInput.GrantsChanged(ModelGrants.all(incarnation + 1)));
        }
    }

    private void update(PlacementTable newer) {
        if (newer.revision() < table.revision()) {
            return;
        }
        table = newer;
        if (!simulation.ownView()) {
            Map<ModelName, Long> grants = new TreeMap<>();
            newer.grantsOf(id).stream()
                    .filter(ReplicaGrant::usable)
                    .forEach(grant -> grants.put(grant.model(), grant.fencing()));
            feed(new ReplicaInput.GrantsChanged(ModelGrants.of(grants)));
        }
    }

    private void releaseGrants() {
        table.shards()
                .forEach(
                        (number, stored) -> {
                            Shard changed = withoutReleased(stored.shard());
                            if (!changed.equals(stored.shard())) {
                                simulation.store.changeGrants(number, stored, id, read -> changed);
                            }
                        });
    }

    private Shard withoutReleased(Shard shard) {
        boolean clears = simulation.policy != PlacementPolicy.TIMEOUT_ONLY;
        return shard.without(grant -> isOwn(grant) && isReleased(grant))
                .map(grant -> isOwn(grant) && clears ? grant.withoutSuspicion() : grant);
    }

    private boolean isOwn(ReplicaGrant grant) {
        return grant.vm().equals(id);
    }

    private boolean isReleased(ReplicaGrant grant) {
        boolean unchecked = simulation.policy == PlacementPolicy.UNCHECKED_RELEASE;
        return grant.releasing() && (unchecked || manager.holdsNothingOf(grant.model()));
    }

    private void feed(ReplicaInput input) {
        manager.on(input, simulation.now).forEach(this::carryOut);
    }

    private void carryOut(ReplicaAction action) {
        if (action instanceof ReplicaAction.LoadModel load) {
            Instant end = simulation.now.plusMillis(1_000 + simulation.random.nextInt(4_000));
            jobs.put(load.model().name(), new Job(load.model(), true, end, incarnation));
        } else if (action instanceof ReplicaAction.UnloadModel unload) {
            Instant end = simulation.now.plusMillis(250);
            Model model = simulation.models.get(unload.model());
            jobs.put(unload.model(), new Job(model, false, end, incarnation));
        } else if (action instanceof ReplicaAction.RefuseRequest refuse) {
            waiting.remove(refuse.request());
        } else if (action instanceof ReplicaAction.SendRequest ready) {
            waiting.remove(ready.request());
            simulation.served++;
            Instant end = simulation.now.plusMillis(simulation.random.nextInt(10_000));
            uses.add(new Use(ready.model(), end));
        }
    }

    private void endJobs() {
        for (Job job : List.copyOf(jobs.values())) {
            ModelName name = job.model.name();
            if (job.end.isAfter(simulation.now)) {
                continue;
            }
            jobs.remove(name);
            if (job.load) {
                held.put(name, job.model);
            } else {
                held.remove(name);
            }
            if (job.incarnation == incarnation && isAgentUp()) {
                feed(answer(job, name));
            }
        }
    }

    private ReplicaInput answer(Job job, ModelName name) {
        boolean lost = simulation.faults && simulation.random.nextInt(6) == 0;
        if (job.load) {
            return lost ? new ReplicaInput.LoadFailed(name, true) : new ReplicaInput.Loaded(name);
        }
        return lost ? new ReplicaInput.UnloadFailed(name) : new ReplicaInput.Unloaded(name);
    }

    private Engine.Report trueReport() {
        List<Engine.Held> loading =
                jobs.values().stream().filter(Job::load).map(job -> heldAs(job.model)).toList();
        List<Engine.Held> loaded = held.values().stream().map(SimulatedVm::heldAs).toList();
        return new Engine.Report(MEMORY, usedBytes(), loaded, loading, List.of(), 0, 0);
    }

    private static Engine.Held heldAs(Model model) {
        return new Engine.Held(model.name(), model.memoryBytes(), Optional.of(model.version()));
    }
}
