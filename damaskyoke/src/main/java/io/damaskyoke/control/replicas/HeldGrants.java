package io.damaskyoke.control.replicas;

import io.damaskyoke.id.ModelName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks the grants in force, and those that are no longer in force but not yet released: such a
 * grant is released once the engine holds nothing of its model.
 */
final class HeldGrants {
    private final TreeMap<ModelName, Long> unreleased = new TreeMap<>();
    private ModelGrants inForce = ModelGrants.of(Map.of());
    private long lastFencing;

    /**
     * Replaces the grants in force; a model that the table holds without a grant must be released
     * from now on.
     */
    void update(ModelGrants grants, ReplicaTable table) {
        unreleased.putAll(inForce.fencingByModel());
        for (Replica replica : table.all()) {
            unreleased.putIfAbsent(replica.name, inForce.fencing(replica.name).orElse(lastFencing));
        }
        inForce = grants;
        unreleased.keySet().removeIf(grants::permits);
        grants.defaultFencing().ifPresent(this::recordFencing);
        grants.fencingByModel().values().forEach(this::recordFencing);
    }

    /** Returns true if the model may be held. */
    boolean permits(ModelName model) {
        return inForce.permits(model);
    }

    /**
     * Returns the fencing token for an order about the model, also for the unload of a model that
     * may no longer be held.
     */
    long fencing(ModelName model) {
        return inForce.fencing(model).orElse(unreleased.getOrDefault(model, lastFencing));
    }

    /**
     * Releases the grants that are no longer in force and whose model the engine no longer holds.
     */
    List<ReplicaAction> releaseUnused(ReplicaTable table) {
        List<ReplicaAction> actions = new ArrayList<>();
        for (ModelName model : List.copyOf(unreleased.keySet())) {
            if (table.isComplete() && table.get(model) == null) {
                actions.add(new ReplicaAction.ReleaseGrant(model, unreleased.remove(model)));
            }
        }
        return actions;
    }

    private void recordFencing(long fencing) {
        lastFencing = Math.max(lastFencing, fencing);
    }
}
