package io.damaskyoke.control.replicas;

import io.damaskyoke.id.ModelName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The rights in force, and those that are no longer in force but have to be handed back: a right is
 * owed until nothing of its model is held any more.
 */
final class HeldRights {
    private final TreeMap<ModelName, Long> owed = new TreeMap<>();
    private Rights inForce = Rights.of(Map.of());
    private long lastFencing;

    /** Takes in new rights; what the table holds without one is owed from now on. */
    void change(Rights rights, ReplicaTable table) {
        owed.putAll(inForce.granted());
        for (Replica replica : table.all()) {
            owed.putIfAbsent(replica.name, inForce.fencing(replica.name).orElse(lastFencing));
        }
        inForce = rights;
        owed.keySet().removeIf(rights::hold);
        rights.everything().ifPresent(this::noteFencing);
        rights.granted().values().forEach(this::noteFencing);
    }

    /** True if the model may be held. */
    boolean hold(ModelName model) {
        return inForce.hold(model);
    }

    /** The number for an order about the model, also for letting go of what may not be held. */
    long fencing(ModelName model) {
        return inForce.fencing(model).orElse(owed.getOrDefault(model, lastFencing));
    }

    /** Hands back what is owed and of which nothing is held any more. */
    List<ReplicaAction> released(ReplicaTable table) {
        List<ReplicaAction> actions = new ArrayList<>();
        for (ModelName model : List.copyOf(owed.keySet())) {
            if (table.complete() && table.get(model) == null) {
                actions.add(new ReplicaAction.Release(model, owed.remove(model)));
            }
        }
        return actions;
    }

    private void noteFencing(long fencing) {
        lastFencing = Math.max(lastFencing, fencing);
    }
}
