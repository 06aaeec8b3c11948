package io.damaskyoke.control.replicas;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.WorkspaceId;
import io.damaskyoke.upstream.Engine;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Simulates an engine with seeded faults around a state machine; it knows the true state of the
 * engine and checks the rules.
 */
final class EngineSimulation {
    static final ReplicaSettings SETTINGS = ReplicaSettings.defaults();
    private static final long STEP_MILLIS = 250;

    final Random random;
    final Random traffic;
    final boolean faults;
    final long memory;
    final TreeMap<ModelName, Model> models = new TreeMap<>();
    final TreeMap<ModelName, Engine.Held> held = new TreeMap<>();
    final TreeMap<ModelName, Job> loads = new TreeMap<>();
    final TreeMap<ModelName, Job> unloads = new TreeMap<>();
    final TreeMap<ModelName, Integer> uses = new TreeMap<>();
    final TreeMap<Long, ReplicaInput.RequestQueued> waiting = new TreeMap<>();
    final Set<Long> served = new TreeSet<>();
    final List<String> violations = new ArrayList<>();
    private final List<Engine.Report> history = new ArrayList<>();
    private final Supplier<StateMachine<ReplicaInput, ReplicaAction>> machineFactory;
    private StateMachine<ReplicaInput, ReplicaAction> machine;
    private Instant now = Instant.EPOCH;
    long requests;
    private long epoch;

    record Job(Model model, Instant end, boolean ok, boolean answered, long epoch) {}

    EngineSimulation(
            long seed,
            boolean faults,
            long memory,
            Supplier<StateMachine<ReplicaInput, ReplicaAction>> machineFactory) {
        this.random = new Random(seed);
        this.traffic = new Random(~seed);
        this.faults = faults;
        this.memory = memory;
        this.machineFactory = machineFactory;
        add("a", 40, null);
        add("b", 30, null);
        add("c", 50, null);
        add("a-1", 10, "a");
        add("a-2", 10, "a");
        add("b-1", 10, "b");
        history.add(trueReport());
        restart();
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            step(i < steps - 200);
        }
        if (!waiting.isEmpty()) {
            violations.add("requests never answered: " + waiting);
        }
    }

    private void step(boolean busy) {
        now = now.plusMillis(STEP_MILLIS);
        finish(loads);
        finish(unloads);
        history.add(trueReport());
        if (busy && traffic.nextInt(3) == 0) {
            queueRequest();
        }
        finishSomeRequests();
        if (random.nextInt(4) == 0) {
            feed(new ReplicaInput.EngineReported(laggingReport()));
        }
        if (faults && busy && random.nextInt(150) == 0) {
            restart();
        }
        if (faults && random.nextInt(100) == 0) {
            changeVersion();
        }
        feed(new ReplicaInput.Tick());
        for (ReplicaInput.RequestQueued queued : waiting.values()) {
            if (queued.deadline().isBefore(now)) {
                violations.add("request not answered by its deadline: " + queued);
            }
        }
    }

    private void restart() {
        epoch++;
        waiting.clear();
        uses.clear();
        machine = machineFactory.get();
        feed(new ReplicaInput.GrantsChanged(ModelGrants.all(epoch)));
        feed(new ReplicaInput.ModelsConfigured(models));
    }

    private void feed(ReplicaInput input) {
        machine.on(input, now).forEach(this::carryOut);
        long used = memoryUsed();
        if (used > memory) {
            violations.add(now + " engine over its memory: uses " + used);
        }
    }

    private void carryOut(ReplicaAction action) {
        if (action instanceof ReplicaAction.LoadModel load) {
            if (loads.containsKey(load.model().name()) || held.containsKey(load.model().name())) {
                violations.add("load ordered for a model that is loading or loaded: " + load);
            }
            loads.put(load.model().name(), job(load.model(), 1_000 + random.nextInt(4_000)));
        } else if (action instanceof ReplicaAction.UnloadModel unload) {
            if (uses.getOrDefault(unload.model(), 0) > 0) {
                violations.add("unload ordered for a model in use: " + unload);
            }
            unloads.put(unload.model(), job(models.get(unload.model()), 250));
        } else if (action instanceof ReplicaAction.SendRequest ready) {
            answered(ready.request());
            served.add(ready.request().counter());
            uses.merge(ready.model(), 1, Integer::sum);
            Engine.Held actual = held.get(ready.model());
            if (actual == null
                    || !actual.version().equals(Optional.of(models.get(ready.model()).version()))) {
                violations.add("the engine does not hold the configured version: " + ready);
            }
        } else if (action instanceof ReplicaAction.RefuseRequest refuse) {
            answered(refuse.request());
        }
    }

    private void answered(ExchangeId request) {
        if (waiting.remove(request.counter()) == null) {
            violations.add("request answered twice: " + request);
        }
    }

    private Job job(Model model, long millis) {
        boolean ok = !faults || random.nextInt(6) > 0;
        boolean answered = !faults || random.nextInt(6) > 0;
        return new Job(model, now.plusMillis(millis), ok, answered, epoch);
    }

    private void finish(TreeMap<ModelName, Job> jobs) {
        for (Job job : List.copyOf(jobs.values())) {
            if (job.end.isAfter(now)) {
                continue;
            }
            ModelName name = job.model.name();
            jobs.remove(name);
            boolean load = jobs == loads;
            if (load && job.ok) {
                held.put(name, held(job.model));
            } else if (!load && job.ok) {
                held.remove(name);
            }
            if (job.epoch == epoch) {
                feed(load ? loadAnswer(job, name) : unloadAnswer(job, name));
            }
        }
    }

    private static ReplicaInput loadAnswer(Job job, ModelName name) {
        return job.ok && job.answered
                ? new ReplicaInput.Loaded(name)
                : new ReplicaInput.LoadFailed(name, !job.answered);
    }

    private static ReplicaInput unloadAnswer(Job job, ModelName name) {
        return job.ok && job.answered
                ? new ReplicaInput.Unloaded(name)
                : new ReplicaInput.UnloadFailed(name);
    }

    private void queueRequest() {
        List<ModelName> names = List.copyOf(models.keySet());
        ModelName name = names.get(traffic.nextInt(names.size()));
        Instant deadline = now.plusMillis(faults ? 500 + traffic.nextInt(60_000) : 600_000);
        ExchangeId id = new ExchangeId(Incarnation.of("r-1"), requests++);
        ReplicaInput.RequestQueued queued =
                new ReplicaInput.RequestQueued(id, name, deadline, WorkspaceId.of("kitchens"));
        waiting.put(id.counter(), queued);
        feed(queued);
    }

    private void finishSomeRequests() {
        for (ModelName name : List.copyOf(uses.keySet())) {
            if (uses.get(name) > 0 && random.nextInt(3) == 0) {
                uses.merge(name, -1, Integer::sum);
                feed(new ReplicaInput.RequestFinished(name));
            }
        }
    }

    private void changeVersion() {
        List<ModelName> names = List.copyOf(models.keySet());
        Model old = models.get(names.get(random.nextInt(names.size())));
        add(old.name().value(), old.memoryBytes(), old.base().map(ModelName::value).orElse(null));
        feed(new ReplicaInput.ModelsConfigured(models));
    }

    private void add(String name, long bytes, String base) {
        ModelName id = ModelName.of(name);
        Model old = models.get(id);
        String version = "v" + (old == null ? 1 : Integer.parseInt(old.version().substring(1)) + 1);
        Optional<ModelName> on = Optional.ofNullable(base).map(ModelName::of);
        models.put(id, new Model(id, version, PoolName.of("p"), on, bytes, 1, Set.of()));
    }

    /**
     * Returns a report that is up to the settings' lag old, and at times understates the memory in
     * use.
     */
    private Engine.Report laggingReport() {
        int lag = (int) (SETTINGS.reportLag().toMillis() / STEP_MILLIS);
        int age = random.nextInt(Math.min(lag, history.size()));
        Engine.Report report = history.get(history.size() - 1 - age);
        long used = faults && random.nextBoolean() ? 0 : report.memoryUsedBytes();
        return new Engine.Report(memory, used, report.loaded(), report.loading(), List.of(), 0, 0);
    }

    private Engine.Report trueReport() {
        List<Engine.Held> loading = loads.values().stream().map(job -> held(job.model)).toList();
        return new Engine.Report(
                memory, memoryUsed(), List.copyOf(held.values()), loading, List.of(), 0, 0);
    }

    private long memoryUsed() {
        return held.values().stream().mapToLong(Engine.Held::memoryBytes).sum()
                + loads.values().stream().mapToLong(job -> job.model.memoryBytes()).sum();
    }

    private static Engine.Held held(Model model) {
        return new Engine.Held(model.name(), model.memoryBytes(), Optional.of(model.version()));
    }
}
