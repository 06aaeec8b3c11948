package io.damaskyoke.control.configuration;

import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;
import java.util.List;
import java.util.Set;

/**
 * A plain service that requests are passed through to.
 *
 * @param name as in {@code /v1/services/NAME/...}
 * @param pool the upstreams that serve it
 * @param idempotent calls that may be repeated although their method is unsafe, each as {@code
 *     "POST /lookup"}: method and leading path segments
 * @param workspaces who may use it; empty means every workspace
 */
public record Service(
        ServiceName name, PoolName pool, List<String> idempotent, Set<WorkspaceId> workspaces) {
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /** Copies the collections. */
    public Service {
        idempotent = List.copyOf(idempotent);
        workspaces = Set.copyOf(workspaces);
    }

    /** True if requests of this workspace may use the service. */
    public boolean open(WorkspaceId workspace) {
        return workspaces.isEmpty() || workspaces.contains(workspace);
    }

    /** True if a call may be repeated: a safe method, or one that operators marked. */
    public boolean idempotent(String method, String path) {
        return SAFE_METHODS.contains(method)
                || idempotent.stream()
                        .anyMatch(call -> covers(call, method + " " + pathOnly(path)));
    }

    // Matched as plain text, "POST /lookup" would cover POST /lookupandpay as well, and a payment
    // whose agent died would be sent again; so a call covers whole path segments only.
    private static boolean covers(String call, String asked) {
        return asked.startsWith(call)
                && (asked.length() == call.length()
                        || call.endsWith("/")
                        || asked.charAt(call.length()) == '/');
    }

    private static String pathOnly(String path) {
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
