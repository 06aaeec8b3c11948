package io.damaskyoke.control.configuration;

import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A mutable copy of a configuration to which tickets are applied.
 *
 * <p>Creating a draft and building the result each copy every entry, so the cost of a batch is two
 * copies of the configuration plus one step for each change, however many tickets the batch has.
 */
final class ConfigurationDraft {
    final Map<WorkspaceId, Workspace> workspaces;
    final Map<String, CallerKey> keys;
    final Map<ModelName, Model> models;
    final Map<ServiceName, Service> services;
    private final Map<KeyId, String> hashById = new HashMap<>();
    private final Map<String, Long> lastTicket;
    private long sequence;

    private ConfigurationDraft(Configuration base) {
        workspaces = new HashMap<>(base.workspaces());
        keys = new HashMap<>(base.keys());
        models = new HashMap<>(base.models());
        services = new HashMap<>(base.services());
        lastTicket = new HashMap<>(base.lastTicket());
        sequence = base.sequence();
        keys.forEach((hash, key) -> hashById.put(key.id(), hash));
    }

    static ConfigurationDraft of(Configuration base) {
        return new ConfigurationDraft(base);
    }

    void apply(Ticket ticket, long atSequence) {
        for (ConfigurationChange change : ticket.changes()) {
            apply(change);
            lastTicket.put(change.objectId(), ticket.number());
        }
        sequence = atSequence;
    }

    /** Lets the decoder of a snapshot replace the map of each object to its last ticket. */
    void updateLastTickets(Consumer<Map<String, Long>> change) {
        change.accept(lastTicket);
    }

    /** Returns the configuration as of this sequence number, even if no ticket was applied. */
    Configuration build(long atSequence) {
        sequence = atSequence;
        return build();
    }

    Configuration build() {
        return new Configuration(sequence, workspaces, keys, models, services, lastTicket);
    }

    private void apply(ConfigurationChange change) {
        if (change instanceof ConfigurationChange.SetWorkspace set) {
            workspaces.put(set.workspace().id(), set.workspace());
        } else if (change instanceof ConfigurationChange.RemoveWorkspace remove) {
            workspaces.remove(remove.id());
        } else if (change instanceof ConfigurationChange.SetKey set) {
            put(set.key());
        } else if (change instanceof ConfigurationChange.SetModel set) {
            models.put(set.model().name(), set.model());
        } else if (change instanceof ConfigurationChange.RemoveModel remove) {
            models.remove(remove.name());
        } else if (change instanceof ConfigurationChange.SetService set) {
            services.put(set.service().name(), set.service());
        } else if (change instanceof ConfigurationChange.RemoveService remove) {
            services.remove(remove.name());
        }
    }

    private void put(CallerKey key) {
        String previousHash = hashById.put(key.id(), key.hash());
        if (previousHash != null && keys.get(previousHash).id().equals(key.id())) {
            keys.remove(previousHash);
        }
        keys.put(key.hash(), key);
    }
}
