package io.damaskyoke.control.direct;

import io.damaskyoke.http.HttpLimits;
import io.damaskyoke.id.WorkspaceId;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Everything that operators have set, as one version.
 *
 * @param version the operators' own number, which only grows
 * @param revision where it stands in the store
 * @param workspaces by id
 * @param keys the workspace of each caller key
 */
public record DirectConfiguration(
        long version,
        long revision,
        List<Route> routes,
        Map<String, ServiceSpec> services,
        Map<WorkspaceId, WorkspaceSpec> workspaces,
        Map<String, WorkspaceId> keys,
        HttpLimits limits) {
    /** The workspace that holds the key. */
    public Optional<WorkspaceSpec> workspaceOf(String key) {
        return Optional.ofNullable(keys.get(key)).map(workspaces::get);
    }

    /** The model services. */
    public List<ServiceSpec> engines() {
        return services.values().stream().filter(each -> each.engine().isPresent()).toList();
    }
}
