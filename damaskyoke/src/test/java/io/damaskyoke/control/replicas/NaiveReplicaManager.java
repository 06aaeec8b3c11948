package io.damaskyoke.control.replicas;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ModelName;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Loads whatever a request needs at once, and trusts every input. */
final class NaiveReplicaManager implements StateMachine<ReplicaInput, ReplicaAction> {
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
        } else if (input instanceof ReplicaInput.RequestQueued queued) {
            waiting.add(queued);
        }
        List<ReplicaAction> actions = new ArrayList<>();
        for (ReplicaInput.RequestQueued queued : List.copyOf(waiting)) {
            if (loaded.contains(queued.model())) {
                waiting.remove(queued);
                actions.add(new ReplicaAction.SendRequest(queued.request(), queued.model()));
            } else if (ordered.add(queued.model())) {
                actions.add(new ReplicaAction.LoadModel(models.get(queued.model()), 1));
            }
        }
        return actions;
    }
}
