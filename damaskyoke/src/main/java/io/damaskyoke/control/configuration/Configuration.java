package io.damaskyoke.control.configuration;

import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Everything operators have set, as of one sequence number of the log. Immutable; a process holds
 * the newest it knows and swaps it for a newer one, never for an older one.
 */
public final class Configuration {
    /** The configuration before the first ticket. */
    public static final Configuration EMPTY =
            new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    private final long sequence;
    private final Map<WorkspaceId, Workspace> workspaces;
    private final Map<String, CallerKey> keys;
    private final Map<ModelName, Model> models;
    private final Map<ServiceName, Service> services;
    private final Map<String, Long> lastTicket;
    private final Set<KeyId> granted;

    /**
     * Copies the maps, so that nobody can change what is in force.
     *
     * @param sequence the last log entry taken in; 0 for the empty configuration
     * @param workspaces by id
     * @param keys by the hash of the caller key, see {@link KeyHasher}
     * @param models models and adapters by name
     * @param services plain services by name
     * @param lastTicket for each object, as {@code kind/name}, the highest ticket number that set
     *     it
     */
    public Configuration(
            long sequence,
            Map<WorkspaceId, Workspace> workspaces,
            Map<String, CallerKey> keys,
            Map<ModelName, Model> models,
            Map<ServiceName, Service> services,
            Map<String, Long> lastTicket) {
        this.sequence = sequence;
        this.workspaces = Map.copyOf(workspaces);
        this.keys = Map.copyOf(keys);
        this.models = Map.copyOf(models);
        this.services = Map.copyOf(services);
        this.lastTicket = Map.copyOf(lastTicket);
        this.granted =
                this.keys.values().stream()
                        .filter(CallerKey::granted)
                        .map(CallerKey::id)
                        .collect(Collectors.toUnmodifiableSet());
    }

    /** The last log entry taken in; 0 for the empty configuration. */
    public long sequence() {
        return sequence;
    }

    /** Workspaces by id. */
    public Map<WorkspaceId, Workspace> workspaces() {
        return workspaces;
    }

    /** Caller keys by their hash, also those withdrawn. */
    public Map<String, CallerKey> keys() {
        return keys;
    }

    /** Models and adapters by name. */
    public Map<ModelName, Model> models() {
        return models;
    }

    /** Plain services by name. */
    public Map<ServiceName, Service> services() {
        return services;
    }

    /** For each object, as {@code kind/name}, the highest ticket number that set it. */
    public Map<String, Long> lastTicket() {
        return lastTicket;
    }

    /** The key with this hash, also when it was withdrawn. */
    public Optional<CallerKey> key(String hash) {
        return Optional.ofNullable(keys.get(hash));
    }

    /** True if the key with this id is granted now; false once it is withdrawn or removed. */
    public boolean granted(KeyId id) {
        return granted.contains(id);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration that
                && sequence == that.sequence
                && workspaces.equals(that.workspaces)
                && keys.equals(that.keys)
                && models.equals(that.models)
                && services.equals(that.services)
                && lastTicket.equals(that.lastTicket);
    }

    @Override
    public int hashCode() {
        return Objects.hash(sequence, lastTicket);
    }

    @Override
    public String toString() {
        return "configuration " + sequence;
    }
}
