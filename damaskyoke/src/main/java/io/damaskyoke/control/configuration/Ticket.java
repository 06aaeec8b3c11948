package io.damaskyoke.control.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;

/**
 * A numbered change of the configuration by an operator; each changed object is given with its
 * complete new state.
 *
 * @param number the number that the operators gave the ticket, from 1 on
 * @param digest the SHA-256 of the canonical JSON, as 64 hexadecimal digits: tickets with the same
 *     meaning have the same digest, in whatever order they list their objects
 * @param changes the changes in order of kind and name
 */
public record Ticket(long number, String digest, List<ConfigurationChange> changes) {
    private static final ObjectMapper JSON = JsonMapper.builder().build();

    /** Returns a ticket with these changes. Other packages get one from {@link TicketParser}. */
    static Ticket of(long number, List<ConfigurationChange> changes) {
        List<ConfigurationChange> sorted =
                changes.stream()
                        .sorted(Comparator.comparing(ConfigurationChange::objectId))
                        .toList();
        return new Ticket(number, sha256(canonical(number, sorted)), sorted);
    }

    /** Returns the stored form: canonical JSON, with hashes in place of caller keys. */
    public byte[] toJson() {
        return canonical(number, changes);
    }

    private static byte[] canonical(long number, List<ConfigurationChange> changes) {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put("number", number);
        changes.forEach(change -> write(root, change));
        try {
            return JSON.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("encoding a ticket as JSON failed", e);
        }
    }

    private static void write(ObjectNode root, ConfigurationChange change) {
        if (change instanceof ConfigurationChange.SetWorkspace set) {
            Workspace workspace = set.workspace();
            root.withArray("workspaces")
                    .addObject()
                    .put("id", workspace.id().value())
                    .put("rate", workspace.rate())
                    .put("burst", workspace.burst())
                    .put("weight", workspace.weight());
        } else if (change instanceof ConfigurationChange.RemoveWorkspace remove) {
            removed(root, "workspaces", "id", remove.id().value());
        } else if (change instanceof ConfigurationChange.SetKey set) {
            CallerKey key = set.key();
            root.withArray("keys")
                    .addObject()
                    .put("id", key.id().value())
                    .put("workspace", key.workspace().value())
                    .put("hash", key.hash())
                    .put("state", key.granted() ? "granted" : "withdrawn");
        } else if (change instanceof ConfigurationChange.SetModel set) {
            write(root, set.model());
        } else if (change instanceof ConfigurationChange.RemoveModel remove) {
            removed(root, "models", "name", remove.name().value());
        } else if (change instanceof ConfigurationChange.SetService set) {
            Service service = set.service();
            ObjectNode node = root.withArray("services").addObject();
            node.put("name", service.name().value()).put("pool", service.pool().value());
            sorted(node.putArray("idempotent"), service.idempotent());
            sorted(node.putArray("workspaces"), service.workspaces());
        } else if (change instanceof ConfigurationChange.RemoveService remove) {
            removed(root, "services", "name", remove.name().value());
        }
    }

    private static void write(ObjectNode root, Model model) {
        ObjectNode node = root.withArray("models").addObject();
        node.put("name", model.name().value())
                .put("version", model.version())
                .put("pool", model.pool().value())
                .put("memory_bytes", model.memoryBytes())
                .put("max_replicas", model.maxReplicas());
        model.base().ifPresent(base -> node.put("base", base.value()));
        sorted(node.putArray("workspaces"), model.workspaces());
    }

    private static void removed(ObjectNode root, String kind, String idField, String id) {
        root.withArray(kind).addObject().put(idField, id).put("removed", true);
    }

    private static void sorted(ArrayNode array, Collection<?> values) {
        values.stream().map(Object::toString).sorted().forEach(array::add);
    }

    private static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is missing, though every Java platform must have it", e);
        }
    }

    @Override
    public String toString() {
        return new String(toJson(), StandardCharsets.UTF_8);
    }
}
