package io.damaskyoke.lab.coldstart;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.replicas.ReplicaAction;
import io.damaskyoke.control.replicas.ReplicaInput;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ModelName;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The naive agent: loads whatever is asked for as soon as it is asked, makes room by unloading what
 * was used least recently, and takes memory into account once a load has ended.
 */
final class LruHolder implements StateMachine<ReplicaInput, ReplicaAction> {
    private final LinkedHashMap<ModelName, Integer> loaded = new LinkedHashMap<>(16, 0.75f, true);
    private final Set<ModelName> ordered = new HashSet<>();
    private final List<ReplicaInput.RequestQueued> waiting = new ArrayList<>();
    private Map<ModelName, Model> models = new TreeMap<>();

    @Override
    public List<ReplicaAction> on(ReplicaInput input, Instant now) {
        List<ReplicaAction> actions = new ArrayList<>();
        if (input instanceof ReplicaInput.ModelsConfigured configured) {
            models = configured.models();
        } else if (input instanceof ReplicaInput.RequestQueued wanted) {
            waiting.add(wanted);
        } else if (input instanceof ReplicaInput.RequestFinished finished) {
            loaded.computeIfPresent(finished.model(), (name, uses) -> uses - 1);
        } else if (input instanceof ReplicaInput.Loaded done) {
            ordered.remove(done.model());
            loaded.put(done.model(), 0);
            makeRoom(actions);
        }
        for (ReplicaInput.RequestQueued wanted : List.copyOf(waiting)) {
            serve(wanted, now, actions);
        }
        return actions;
    }

    private void serve(
            ReplicaInput.RequestQueued wanted, Instant now, List<ReplicaAction> actions) {
        Model model = models.get(wanted.model());
        boolean baseThere = model.base().map(loaded::containsKey).orElse(true);
        if (!now.isBefore(wanted.deadline())) {
            waiting.remove(wanted);
            RefusalCode late = RefusalCode.DEADLINE_EXCEEDED;
            actions.add(
                    new ReplicaAction.RefuseRequest(
                            wanted.request(), wanted.model(), late, Optional.empty()));
        } else if (loaded.containsKey(model.name()) && baseThere) {
            waiting.remove(wanted);
            loaded.merge(model.name(), 1, Integer::sum);
            model.base().ifPresent(loaded::get);
            actions.add(new ReplicaAction.SendRequest(wanted.request(), wanted.model()));
        } else if (!baseThere) {
            order(models.get(model.base().get()), actions);
        } else {
            order(model, actions);
        }
    }

    private void order(Model model, List<ReplicaAction> actions) {
        if (!loaded.containsKey(model.name()) && ordered.add(model.name())) {
            actions.add(new ReplicaAction.LoadModel(model, 1));
        }
    }

    private void makeRoom(List<ReplicaAction> actions) {
        long used =
                loaded.keySet().stream().mapToLong(name -> models.get(name).memoryBytes()).sum();
        for (ModelName name : List.copyOf(loaded.keySet())) {
            if (used <= SimulatedVm.MEMORY) {
                return;
            }
            boolean carries =
                    loaded.keySet().stream()
                            .anyMatch(other -> models.get(other).base().equals(Optional.of(name)));
            if (!carries && loaded.getOrDefault(name, 0) <= 0) {
                used -= models.get(name).memoryBytes();
                loaded.remove(name);
                actions.add(new ReplicaAction.UnloadModel(name, 1));
            }
        }
    }
}
