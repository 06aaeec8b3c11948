package io.damaskyoke.control.direct;

import io.damaskyoke.http.HttpLimits;
import io.damaskyoke.id.WorkspaceId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the complete configuration that operators have set.
 *
 * @param version the operators' version number, which only grows
 * @param revision store revision of the configuration
 * @param workspaces the workspaces by id
 * @param callerKeys the caller keys, where requests need one
 */
public record DirectConfiguration(
        long version,
        long revision,
        List<Route> routes,
        Map<String, ServiceSpec> services,
        Map<WorkspaceId, WorkspaceSpec> workspaces,
        CallerKeys callerKeys,
        HttpLimits limits) {
    /** Returns the workspace that the caller key belongs to. */
    public Optional<WorkspaceSpec> workspaceForKey(String key) {
        return callerKeys.workspaceOf(key).map(workspaces::get);
    }

    /** Returns the memory for running requests of one upstream of each model service, in tokens. */
    public Map<String, Long> tokenMemory() {
        return modelServices().stream()
                .collect(
                        Collectors.toMap(
                                ServiceSpec::name,
                                each -> each.engine().map(EngineSpec::kvTokens).orElse(0L)));
    }

    /** Returns the model services. */
    public List<ServiceSpec> modelServices() {
        return services.values().stream().filter(each -> each.engine().isPresent()).toList();
    }
}
