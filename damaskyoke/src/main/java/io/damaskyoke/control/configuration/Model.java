package io.damaskyoke.control.configuration;

import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.WorkspaceId;
import java.util.Optional;
import java.util.Set;

/**
 * A model or an adapter that engines can load.
 *
 * @param name the name callers use in requests
 * @param version the version of the weights; a changed version is loaded anew
 * @param pool the pool of engines that may hold it
 * @param base for an adapter, the model it extends; empty for a model
 * @param memoryBytes the bytes that a replica takes in the engine's memory
 * @param maxReplicas the most VMs that may hold it at once
 * @param workspaces the workspaces that may use it; empty means every workspace
 */
public record Model(
        ModelName name,
        String version,
        PoolName pool,
        Optional<ModelName> base,
        long memoryBytes,
        int maxReplicas,
        Set<WorkspaceId> workspaces) {
    /** Creates a model with an immutable copy of the set. */
    public Model {
        workspaces = Set.copyOf(workspaces);
    }

    /** Returns true if requests of this workspace may use the model. */
    public boolean allows(WorkspaceId workspace) {
        return workspaces.isEmpty() || workspaces.contains(workspace);
    }
}
