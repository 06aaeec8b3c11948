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
final class NaiveHolder implements Machine<ReplicaInput, ReplicaAction> {
    private final Set<ModelName> loaded = new HashSet<>();
    private final Set<ModelName> ordered = new HashSet<>();
    private final List<ReplicaInput.Wanted> waiting = new ArrayList<>();
    private Map<ModelName, Model> models = Map.of();

    @Override
    public List<ReplicaAction> on(ReplicaInput input, Instant now) {
        if (input instanceof ReplicaInput.Configured configured) {
            models = configured.models();
        } else if (input instanceof ReplicaInput.Loaded done) {
            loaded.add(done.model());
        } else if (input instanceof ReplicaInput.Wanted wanted) {
            waiting.add(wanted);
        }
        List<ReplicaAction> actions = new ArrayList<>();
        for (ReplicaInput.Wanted wanted : List.copyOf(waiting)) {
            if (loaded.contains(wanted.model())) {
                waiting.remove(wanted);
                actions.add(new ReplicaAction.Ready(wanted.request(), wanted.model()));
            } else if (ordered.add(wanted.model())) {
                actions.add(new ReplicaAction.Load(models.get(wanted.model()), 1));
            }
        }
        return actions;
    }
}
