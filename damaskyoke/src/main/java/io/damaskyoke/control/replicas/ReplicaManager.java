package io.damaskyoke.control.replicas;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.replicas.Replica.Phase;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ModelName;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Manages the memory of one engine: loads the models that queued requests need, unloads those that
 * are cheapest to load again, and lets each request proceed or refuses it before its deadline.
 *
 * <p>{@code new ReplicaManager(ReplicaSettings.defaults()).on(new ReplicaInput.RequestQueued(...),
 * now)}. It starts without grants, models and inventory, and orders nothing before it has all
 * three. Each RequestQueued is answered once: SendRequest counts as a use until RequestFinished is
 * received, so nothing can be unloaded between the answer and the sending.
 */
public final class ReplicaManager implements StateMachine<ReplicaInput, ReplicaAction> {
    private static final Duration PREFETCH_TIME = Duration.ofMinutes(1);
    private static final double IDLE_USES = 0.5;
    private static final Duration SHORT_RETRY_AFTER = Duration.ofSeconds(1);

    private final ReplicaSettings settings;
    private final ReplicaTable table;
    private final LoadCosts costs;
    private final EvictionPolicy evictionPolicy;
    private final TreeMap<ModelName, ModelQueue> queues = new TreeMap<>();
    private final LoadBackoff backoff;
    private final HeldGrants grants = new HeldGrants();
    private Map<ModelName, Model> models = Map.of();

    /** Creates a state machine that has received no input yet. */
    public ReplicaManager(ReplicaSettings settings) {
        this.settings = settings;
        table = new ReplicaTable(settings);
        costs = new LoadCosts(settings);
        evictionPolicy = new EvictionPolicy(table, costs);
        backoff = new LoadBackoff(settings.retryDelay());
    }

    @Override
    public List<ReplicaAction> on(ReplicaInput input, Instant now) {
        table.recordStart(now);
        apply(input, now);
        List<ReplicaAction> actions = new ArrayList<>();
        unloadUnusable(actions, now);
        unloadIdle(actions, now);
        serveQueues(actions, now);
        actions.addAll(grants.releaseUnused(table));
        return actions;
    }

    /** Returns the models that the engine confirmed or reported as loaded. */
    public Set<ModelName> loadedModels() {
        return modelsIn(Phase.LOADED);
    }

    /** Returns the models that are being loaded. */
    public Set<ModelName> loadingModels() {
        return modelsIn(Phase.LOADING);
    }

    /**
     * Returns true if the engine certainly holds nothing of the model and has no order about it, by
     * an inventory that is younger than this process. Only then may a grant for it be released.
     */
    public boolean holdsNothingOf(ModelName model) {
        return table.isComplete() && table.get(model) == null;
    }

    /** Returns the engine's memory for models, in bytes; 0 before its first report. */
    public long memoryBytes() {
        return table.capacityBytes();
    }

    /** Returns the memory that is used or reserved, in bytes. */
    public long memoryUsedBytes() {
        return table.capacityBytes() - table.freeBytes();
    }

    private Set<ModelName> modelsIn(Phase phase) {
        return table.all().stream()
                .filter(replica -> replica.phase == phase)
                .map(replica -> replica.name)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private void apply(ReplicaInput input, Instant now) {
        if (input instanceof ReplicaInput.RequestQueued queued) {
            costs.recordUse(queued.model(), now);
            queues.computeIfAbsent(queued.model(), ModelQueue::new).requests.add(queued);
        } else if (input instanceof ReplicaInput.RequestCanceled canceled) {
            cancel(canceled);
        } else if (input instanceof ReplicaInput.RequestFinished finished) {
            finishRequest(finished.model());
        } else if (input instanceof ReplicaInput.Loaded loaded) {
            loaded(loaded.model(), now);
        } else if (input instanceof ReplicaInput.LoadFailed failed) {
            loadFailed(failed, now);
        } else if (input instanceof ReplicaInput.Unloaded unloaded) {
            unloaded(unloaded.model(), now);
        } else if (input instanceof ReplicaInput.UnloadFailed failed) {
            unloadFailed(failed.model(), now);
        } else if (input instanceof ReplicaInput.EngineReported reported) {
            table.applyReport(reported.report(), models, now);
        } else if (input instanceof ReplicaInput.ModelsConfigured configured) {
            configure(configured.models());
        } else if (input instanceof ReplicaInput.GrantsChanged changed) {
            grants.update(changed.grants(), table);
        }
    }

    private void cancel(ReplicaInput.RequestCanceled canceled) {
        ModelQueue queue = queues.get(canceled.model());
        if (queue != null) {
            queue.requests.removeIf(queued -> queued.request().equals(canceled.request()));
        }
    }

    private void finishRequest(ModelName model) {
        Replica replica = table.get(model);
        if (replica != null && replica.uses > 0) {
            replica.uses--;
        }
    }

    private void loaded(ModelName model, Instant now) {
        Replica replica = table.get(model);
        if (replica != null && replica.phase == Phase.LOADING) {
            costs.recordLoad(model, Duration.between(replica.phaseSince, now));
            replica.enter(Phase.LOADED, now);
            backoff.reset(model);
        }
    }

    private void loadFailed(ReplicaInput.LoadFailed failed, Instant now) {
        Replica replica = table.get(failed.model());
        if (replica == null || replica.phase != Phase.LOADING) {
            return;
        }
        backoff.recordFailure(failed.model(), now);
        if (failed.mayBeHeld()) {
            table.markUnknown(replica, now);
        } else {
            table.free(failed.model(), now);
        }
    }

    private void unloaded(ModelName model, Instant now) {
        Replica replica = table.get(model);
        if (replica != null && replica.phase == Phase.UNLOADING) {
            table.free(model, now);
        }
    }

    private void unloadFailed(ModelName model, Instant now) {
        Replica replica = table.get(model);
        if (replica != null && replica.phase == Phase.UNLOADING) {
            table.markUnknown(replica, now);
        }
    }

    private void configure(Map<ModelName, Model> newModels) {
        models = Map.copyOf(newModels);
        backoff.retain(models.keySet());
        costs.retain(models.keySet());
        table.setBases(models);
    }

    private void unloadUnusable(List<ReplicaAction> actions, Instant now) {
        for (Replica replica : List.copyOf(table.all())) {
            if (replica.phase == Phase.LOADED && !isUsable(replica)) {
                unload(replica, actions, now);
            }
        }
    }

    /** Unloads models that have not been used for long, so that their accelerators can idle. */
    private void unloadIdle(List<ReplicaAction> actions, Instant now) {
        for (Replica replica : List.copyOf(table.all())) {
            boolean old =
                    Duration.between(replica.phaseSince, now).compareTo(settings.rateHalfLife())
                            > 0;
            if (replica.phase == Phase.LOADED
                    && old
                    && !queues.containsKey(replica.name)
                    && costs.recentUses(replica.name, now) < IDLE_USES) {
                unload(replica, actions, now);
            }
        }
    }

    private void unload(Replica replica, List<ReplicaAction> actions, Instant now) {
        if (replica.uses > 0 || table.hasAdapters(replica.name) || !table.isComplete()) {
            return;
        }
        replica.enter(Phase.UNLOADING, now);
        actions.add(new ReplicaAction.UnloadModel(replica.name, grants.fencing(replica.name)));
    }

    /**
     * Returns true if requests may be sent to the replica: it is loaded in the configured version,
     * has a grant, and its base is usable too.
     */
    private boolean isUsable(Replica replica) {
        Model model = models.get(replica.name);
        return replica.phase == Phase.LOADED
                && !ReplicaTable.isLost(replica)
                && model != null
                && replica.version.equals(Optional.of(model.version()))
                && replica.base.equals(model.base())
                && grants.permits(replica.name)
                && model.base().map(this::isUsable).orElse(true);
    }

    private boolean isUsable(ModelName model) {
        Replica replica = table.get(model);
        return replica != null && isUsable(replica);
    }

    private void serveQueues(List<ReplicaAction> actions, Instant now) {
        Pass pass = new Pass(actions, now, slots(now));
        TreeSet<ModelQueue> ordered = new TreeSet<>(ModelQueue.BY_DEADLINE);
        ordered.addAll(queues.values());
        for (ModelQueue queue : ordered) {
            answerReady(queue, pass);
            refuseUnreachable(queue, pass);
            if (!queue.isExpired(now) && !isUsable(queue.model)) {
                load(queue, pass);
            }
        }
        queues.values().removeIf(queue -> queue.isExpired(now) || isServed(queue));
    }

    private boolean isServed(ModelQueue queue) {
        return queue.requests.isEmpty() && table.get(queue.model) != null;
    }

    private void answerReady(ModelQueue queue, Pass pass) {
        Optional<Refused> refused = refusal(queue.model, pass.now);
        if (refused.isPresent()) {
            queue.prefetchUntil = Instant.MIN;
        }
        Replica replica = table.get(queue.model);
        for (ReplicaInput.RequestQueued queued : List.copyOf(queue.requests)) {
            if (!pass.now.isBefore(queued.deadline())) {
                refuse(queue, queued, RefusalCode.DEADLINE_UNREACHABLE, Optional.empty(), pass);
            } else if (refused.isPresent()) {
                refuse(queue, queued, refused.get().code, refused.get().retryAfter, pass);
            } else if (replica != null && isUsable(replica)) {
                replica.uses++;
                queue.requests.remove(queued);
                pass.actions.add(new ReplicaAction.SendRequest(queued.request(), queue.model));
            }
        }
    }

    /** Returns why the model can't be served here at all at present; empty if it can. */
    private Optional<Refused> refusal(ModelName name, Instant now) {
        Model model = models.get(name);
        if (model == null || !mayHold(model)) {
            return Optional.of(
                    new Refused(RefusalCode.NO_UPSTREAM, Optional.of(SHORT_RETRY_AFTER)));
        }
        if (isUsable(name)) {
            return Optional.empty();
        }
        if (table.isComplete() && fullBytes(model) > table.capacityBytes()) {
            return Optional.of(new Refused(RefusalCode.NO_UPSTREAM, Optional.empty()));
        }
        return backoff.remainingPause(name, now)
                .or(() -> model.base().flatMap(base -> backoff.remainingPause(base, now)))
                .map(pause -> new Refused(RefusalCode.LOAD_FAILED, Optional.of(pause)));
    }

    private boolean mayHold(Model model) {
        return grants.permits(model.name())
                && model.base().map(b -> models.containsKey(b) && grants.permits(b)).orElse(true);
    }

    private long fullBytes(Model model) {
        return model.memoryBytes() + model.base().map(b -> models.get(b).memoryBytes()).orElse(0L);
    }

    private void refuseUnreachable(ModelQueue queue, Pass pass) {
        if (queue.requests.isEmpty()) {
            return;
        }
        Duration wait = expectedWait(queue.model, pass);
        for (ReplicaInput.RequestQueued queued : List.copyOf(queue.requests)) {
            if (pass.now.plus(wait).isAfter(queued.deadline())) {
                queue.prefetchUntil = pass.now.plus(PREFETCH_TIME);
                refuse(queue, queued, RefusalCode.DEADLINE_UNREACHABLE, Optional.of(wait), pass);
            }
        }
    }

    private Duration expectedWait(ModelName model, Pass pass) {
        Duration load = timeToLoad(model, pass.now);
        return table.get(model) == null ? pass.slots.schedule(load) : load;
    }

    /**
     * Returns how long until the model can serve once a load can be ordered; a load that is overdue
     * is expected to end at once.
     */
    private Duration timeToLoad(ModelName name, Instant now) {
        Model model = models.get(name);
        Replica replica = table.get(name);
        if (replica != null && isUsable(replica)) {
            return Duration.ZERO;
        }
        Duration own = costs.loadEstimate(model);
        if (replica != null && replica.phase == Phase.LOADING) {
            Duration left = own.minus(Duration.between(replica.phaseSince, now));
            return left.isNegative() ? Duration.ZERO : left;
        }
        return own.plus(model.base().map(b -> timeToLoad(b, now)).orElse(Duration.ZERO));
    }

    private LoadSlots slots(Instant now) {
        List<Duration> running =
                table.all().stream()
                        .filter(replica -> replica.phase == Phase.LOADING)
                        .filter(replica -> models.containsKey(replica.name))
                        .map(replica -> timeToLoad(replica.name, now))
                        .toList();
        return new LoadSlots(running, settings.loadsAtOnce());
    }

    private static void refuse(
            ModelQueue queue,
            ReplicaInput.RequestQueued queued,
            RefusalCode code,
            Optional<Duration> retryAfter,
            Pass pass) {
        queue.requests.remove(queued);
        pass.actions.add(
                new ReplicaAction.RefuseRequest(queued.request(), queue.model, code, retryAfter));
    }

    /**
     * Orders the load of the model, or first that of its base, or the unloads that free the memory
     * for it.
     */
    private void load(ModelQueue queue, Pass pass) {
        Model model = models.get(queue.model);
        if (!table.isComplete() || model == null || !mayHold(model)) {
            return;
        }
        Optional<Model> first = firstToLoad(model);
        if (first.isEmpty() || backoff.remainingPause(first.get().name(), pass.now).isPresent()) {
            return;
        }
        long bytes = missingBytes(model);
        long free = table.freeBytes() - pass.reservedBytes;
        if (free >= bytes && table.count(Phase.LOADING) < settings.loadsAtOnce()) {
            orderLoad(first.get(), pass);
            pass.reservedBytes += bytes - first.get().memoryBytes();
        } else if (free >= bytes) {
            pass.reservedBytes += bytes;
        } else {
            freeMemoryFor(queue, model, bytes, bytes - free - table.bytesIn(Phase.UNLOADING), pass);
        }
    }

    private Optional<Model> firstToLoad(Model model) {
        if (model.base().isPresent() && !isUsable(model.base().get())) {
            return firstToLoad(models.get(model.base().get()));
        }
        return table.get(model.name()) == null ? Optional.of(model) : Optional.empty();
    }

    private long missingBytes(Model model) {
        long own = table.get(model.name()) == null ? model.memoryBytes() : 0;
        return own + model.base().map(b -> missingBytes(models.get(b))).orElse(0L);
    }

    private void orderLoad(Model model, Pass pass) {
        table.reserve(model, pass.now);
        pass.actions.add(new ReplicaAction.LoadModel(model, grants.fencing(model.name())));
    }

    private void freeMemoryFor(
            ModelQueue queue, Model model, long bytes, long shortfall, Pass pass) {
        double maxCost =
                queue.requests.isEmpty()
                        ? costs.coldStartSecondsPerByte(model, model.memoryBytes(), pass.now)
                        : Double.MAX_VALUE;
        Optional<List<Replica>> chosen =
                evictionPolicy.chooseToFree(shortfall, neededModels(), models, maxCost, pass.now);
        if (chosen.isPresent()) {
            chosen.get().forEach(replica -> unload(replica, pass.actions, pass.now));
            pass.reservedBytes += bytes;
        }
    }

    private Set<ModelName> neededModels() {
        Set<ModelName> needed = new TreeSet<>();
        for (ModelQueue queue : queues.values()) {
            Model model = models.get(queue.model);
            if (model != null) {
                needed.add(queue.model);
                model.base().ifPresent(needed::add);
            }
        }
        return needed;
    }

    private record Refused(RefusalCode code, Optional<Duration> retryAfter) {}

    /**
     * The state of one pass over the queued models, nearest deadline first: the memory and load
     * slots already assigned.
     */
    private static final class Pass {
        private final List<ReplicaAction> actions;
        private final Instant now;
        private final LoadSlots slots;
        private long reservedBytes;

        private Pass(List<ReplicaAction> actions, Instant now, LoadSlots slots) {
            this.actions = actions;
            this.now = now;
            this.slots = slots;
        }
    }
}
