package io.damaskyoke.control.direct;

import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.http.HttpLimits;
import io.damaskyoke.id.WorkspaceId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the complete configuration that operators have set.
 *
 * @param version the operators' version number, which only grows; {@link #UNKNOWN_VERSION} if it
 *     can't be read
 * @param revision store revision of the configuration
 * @param routes the routes that can be read
 * @param unreadableRoutes hosts and prefixes of the routes that can't be read
 * @param services the services by name
 * @param workspaces the workspaces by id
 * @param callerKeys the caller keys, where requests need one
 * @param unreadableParts all that can't be read
 */
public record DirectConfiguration(
        long version,
        long revision,
        List<Route> routes,
        List<RoutePath> unreadableRoutes,
        Map<String, ServiceSpec> services,
        Map<WorkspaceId, WorkspaceSpec> workspaces,
        CallerKeys callerKeys,
        HttpLimits limits,
        List<UnreadablePart> unreadableParts) {
    /** The version of a configuration that states none that can be read. */
    public static final long UNKNOWN_VERSION = -1;

    /** Returns the builder of a configuration that is empty and needs no keys. */
    public static Builder builder(long version, long revision) {
        return new Builder(version, revision);
    }

    /** Returns the workspace that the caller key belongs to. */
    public Optional<WorkspaceSpec> workspaceForKey(String key) {
        return callerKeys.workspaceOf(key).map(workspaces::get);
    }

    /** Returns the workspaces that have a rate limit, by id. */
    public Map<WorkspaceId, Workspace> rateLimitedWorkspaces() {
        return workspaces.values().stream()
                .filter(WorkspaceSpec::hasRateLimit)
                .map(WorkspaceSpec::workspace)
                .collect(Collectors.toMap(Workspace::id, each -> each));
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

    /** Collects the parts of a configuration. */
    public static final class Builder {
        private final long version;
        private final long revision;
        private List<Route> routes = List.of();
        private List<RoutePath> unreadableRoutes = List.of();
        private Map<String, ServiceSpec> services = Map.of();
        private Map<WorkspaceId, WorkspaceSpec> workspaces = Map.of();
        private CallerKeys callerKeys = CallerKeys.NOT_USED;
        private HttpLimits limits = HttpLimits.defaults();
        private List<UnreadablePart> unreadableParts = List.of();

        private Builder(long version, long revision) {
            this.version = version;
            this.revision = revision;
        }

        /**
         * Sets the routes.
         *
         * @param unreadable hosts and prefixes of the routes that can't be read
         */
        public Builder routes(List<Route> readable, List<RoutePath> unreadable) {
            routes = List.copyOf(readable);
            unreadableRoutes = List.copyOf(unreadable);
            return this;
        }

        /** Sets the services by name. */
        public Builder services(Map<String, ServiceSpec> byName) {
            services = Map.copyOf(byName);
            return this;
        }

        /** Sets the workspaces by id, and their keys. */
        public Builder workspaces(Map<WorkspaceId, WorkspaceSpec> byId, CallerKeys keys) {
            workspaces = Map.copyOf(byId);
            callerKeys = keys;
            return this;
        }

        /** Sets the limits of callers' requests. */
        public Builder limits(HttpLimits given) {
            limits = given;
            return this;
        }

        /** Sets what can't be read. */
        public Builder unreadableParts(List<UnreadablePart> parts) {
            unreadableParts = List.copyOf(parts);
            return this;
        }

        /** Returns the configuration. */
        public DirectConfiguration build() {
            return new DirectConfiguration(
                    version,
                    revision,
                    routes,
                    unreadableRoutes,
                    services,
                    workspaces,
                    callerKeys,
                    limits,
                    unreadableParts);
        }
    }
}
