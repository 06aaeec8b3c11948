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
 * The complete configuration set by operators as of one sequence number of the log. Immutable; a
 * process holds the newest configuration it knows and replaces it only by a newer one.
 */
public final class Configuration {
    /** The empty configuration, before the first ticket. */
    public static final Configuration EMPTY =
            new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    private final long sequence;
    private final Map<WorkspaceId, Workspace> workspaces;
    private final Map<String, CallerKey> keys;
    private final Map<ModelName, Model> models;
    private final Map<ServiceName, Service> services;
    private final Map<String, Long> lastTicket;
    private final Set<KeyId> grantedKeys;

    /**
     * Creates a configuration with copies of the maps, so that later changes to them have no effect
     * on it.
     *
     * @param sequence the sequence number of the last applied log entry; 0 for the empty
     *     configuration
     * @param workspaces the workspaces by id
     * @param keys the caller keys by hash, withdrawn ones included, see {@link KeyHasher}
     * @param models the models and adapters by name
     * @param services the plain services by name
     * @param lastTicket for each object, as {@code kind/name}, the highest ticket number that set
     *     or removed it
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
        this.grantedKeys =
                this.keys.values().stream()
                        .filter(CallerKey::granted)
                        .map(CallerKey::id)
                        .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the sequence number of the last applied log entry; 0 for the empty configuration. */
    public long sequence() {
        return sequence;
    }

    /** Returns the workspaces by id. */
    public Map<WorkspaceId, Workspace> workspaces() {
        return workspaces;
    }

    /** Returns the caller keys by hash, withdrawn ones included. */
    public Map<String, CallerKey> keys() {
        return keys;
    }

    /** Returns the models and adapters by name. */
    public Map<ModelName, Model> models() {
        return models;
    }

    /** Returns the plain services by name. */
    public Map<ServiceName, Service> services() {
        return services;
    }

    /**
     * Returns for each object, as {@code kind/name}, the highest ticket number that set or removed
     * it.
     */
    public Map<String, Long> lastTicket() {
        return lastTicket;
    }

    /** Returns the caller key with this hash, even if it is withdrawn. */
    public Optional<CallerKey> findKey(String hash) {
        return Optional.ofNullable(keys.get(hash));
    }

    /**
     * Returns true if the caller key with this id is granted; false once it is withdrawn or
     * removed.
     */
    public boolean isGranted(KeyId id) {
        return grantedKeys.contains(id);
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
