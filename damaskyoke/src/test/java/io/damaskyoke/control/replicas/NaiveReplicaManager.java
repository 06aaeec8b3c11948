package io.damaskyoke.control.replicas;

import io.damaskyoke.control.Machine;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ModelName;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Loads whatever a request needs at once, and trusts every input. */
final class NaiveReplicaManager implements Machine<ReplicaInput, ReplicaAction> {
    private final Set<ModelName> loaded = new HashSet<>();
    private final Set<ModelName> ordered = new HashSet<>();
    private final List<ReplicaInput.RequestQueued> waiting = new ArrayList<>();
    private Map<ModelName, Model> models = Map.of();

    @Override
    public List<ReplicaAction> on(ReplicaInput input, Instant now) {
        if (input instanceof ReplicaInput.ModelsConfigured configured) {
            models = configured.models();
        } else if (input instanceof ReplicaInput.Loaded done) {
            loaded.add(done.model());
        } else if (input instanceof ReplicaInput.RequestQueued wanted) {
            waiting.add(wanted);
        }
        List<ReplicaAction> actions = new ArrayList<>();
        for (ReplicaInput.RequestQueued wanted : List.copyOf(waiting)) {
            if (loaded.contains(wanted.model())) {
                waiting.remove(wanted);
                actions.add(new ReplicaAction.SendRequest(wanted.request(), wanted.model()));
            } else if (ordered.add(wanted.model())) {
                actions.add(new ReplicaAction.LoadModel(models.get(wanted.model()), 1));
            }
        }
        return actions;
    }
}
