package io.damaskyoke.control.configuration;

import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;
import java.util.Map;
import java.util.Optional;

/**
 * Everything operators have set, as of one sequence number of the log. Immutable; a process holds
 * the newest it knows and swaps it for a newer one, never for an older one.
 *
 * @param sequence the last log entry taken in; 0 for the empty configuration
 * @param workspaces by id
 * @param keys by the hash of the caller key, see {@link KeyHasher}
 * @param models models and adapters by name
 * @param services plain services by name
 * @param lastTicket for each object, as {@code kind/name}, the highest ticket number that set it
 */
public record Configuration(
        long sequence,
        Map<WorkspaceId, Workspace> workspaces,
        Map<String, CallerKey> keys,
        Map<ModelName, Model> models,
        Map<ServiceName, Service> services,
        Map<String, Long> lastTicket) {
    /** The configuration before the first ticket. */
    public static final Configuration EMPTY =
            new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    /** Copies the maps, so that nobody can change what is in force. */
    public Configuration {
        workspaces = Map.copyOf(workspaces);
        keys = Map.copyOf(keys);
        models = Map.copyOf(models);
        services = Map.copyOf(services);
        lastTicket = Map.copyOf(lastTicket);
    }

    /** The key with this hash, also when it was withdrawn. */
    public Optional<CallerKey> key(String hash) {
        return Optional.ofNullable(keys.get(hash));
    }

    /** True if the key with this id is granted now; false once it is withdrawn or removed. */
    public boolean granted(KeyId id) {
        return keys.values().stream().anyMatch(key -> key.id().equals(id) && key.granted());
    }
}
