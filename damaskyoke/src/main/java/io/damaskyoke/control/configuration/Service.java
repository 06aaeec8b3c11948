package io.damaskyoke.control.configuration;

import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;
import java.util.List;
import java.util.Set;

/**
 * A plain service, whose requests are passed through to its upstreams.
 *
 * @param name the name, as in {@code /v1/services/NAME/...}
 * @param pool the pool of upstreams that serve it
 * @param idempotent the calls that may be repeated although their method is unsafe, each as {@code
 *     "POST /lookup"}: method and leading path segments
 * @param workspaces the workspaces that may use it; empty means every workspace
 */
public record Service(
        ServiceName name, PoolName pool, List<String> idempotent, Set<WorkspaceId> workspaces) {
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /** Creates a service with immutable copies of the collections. */
    public Service {
        idempotent = List.copyOf(idempotent);
        workspaces = Set.copyOf(workspaces);
    }

    /** Returns true if requests of this workspace may use the service. */
    public boolean allows(WorkspaceId workspace) {
        return workspaces.isEmpty() || workspaces.contains(workspace);
    }

    /**
     * Returns true if a call may be repeated: its method is safe, or operators marked it as
     * idempotent.
     */
    public boolean isIdempotent(String method, String path) {
        return SAFE_METHODS.contains(method)
                || idempotent.stream()
                        .anyMatch(call -> matches(call, method + " " + withoutQuery(path)));
    }

    // A call matches whole path segments only. As a text prefix, "POST /lookup" would also match
    // POST /lookupandpay, and a payment whose agent crashed would be sent again.
    private static boolean matches(String call, String request) {
        return request.startsWith(call)
                && (request.length() == call.length()
                        || call.endsWith("/")
                        || request.charAt(call.length()) == '/');
    }

    private static String withoutQuery(String path) {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
