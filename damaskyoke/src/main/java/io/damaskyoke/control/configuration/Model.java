package io.damaskyoke.control.configuration;

import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.WorkspaceId;
import java.util.Optional;
import java.util.Set;

/**
 * A model or an adapter.
 *
 * @param name what callers call it
 * @param version which weights; a change of version is a new load
 * @param pool the engines that may hold it
 * @param base for an adapter the model it is put on
 * @param memoryBytes what a replica takes in the engine's memory
 * @param maxReplicas how many VMs may hold it at once, at most
 * @param workspaces who may use it; empty means every workspace
 */
public record Model(
        ModelName name,
        String version,
        PoolName pool,
        Optional<ModelName> base,
        long memoryBytes,
        int maxReplicas,
        Set<WorkspaceId> workspaces) {
    /** Copies the set. */
    public Model {
        workspaces = Set.copyOf(workspaces);
    }

    /** True if requests of this workspace may use the model. */
    public boolean open(WorkspaceId workspace) {
        return workspaces.isEmpty() || workspaces.contains(workspace);
    }
}
