package io.damaskyoke.control.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.damaskyoke.control.configuration.TicketException.Code;
import io.damaskyoke.id.KeyId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.ServiceName;
import io.damaskyoke.id.WorkspaceId;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Parses and validates the JSON of tickets: {@code TicketParser.withHasher(hasher).parse(bytes)}.
 *
 * <p>Parsing is strict: an unknown field, a duplicate object or a value out of range causes a
 * {@link TicketException} that names the field. Caller keys are hashed here and never stored as
 * plain text.
 */
public final class TicketParser {
    /**
     * The largest ticket accepted, in bytes, both as received and as stored: half of the limit for
     * a value in the store.
     */
    public static final int MAX_BYTES = 512 * 1024;

    private static final double MAX_TOKENS = 1e12;
    private static final double MIN_WEIGHT = 1e-3;
    private static final double MAX_WEIGHT = 1e6;
    private static final int MAX_REPLICAS = 100_000;
    private static final Pattern HASH_PATTERN = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern CALL_PATTERN = Pattern.compile("[A-Z]+ /\\S*");

    private static final Set<String> TICKET_FIELDS =
            Set.of("number", "workspaces", "keys", "models", "services");
    private static final Set<String> WORKSPACE_FIELDS =
            Set.of("id", "rate", "burst", "weight", "removed");
    private static final Set<String> KEY_FIELDS = Set.of("id", "workspace", "key", "hash", "state");
    private static final Set<String> MODEL_FIELDS =
            Set.of(
                    "name",
                    "version",
                    "pool",
                    "memory_bytes",
                    "max_replicas",
                    "base",
                    "workspaces",
                    "removed");
    private static final Set<String> SERVICE_FIELDS =
            Set.of("name", "pool", "idempotent", "workspaces", "removed");

    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private final Optional<KeyHasher> hasher;

    private TicketParser(Optional<KeyHasher> hasher) {
        this.hasher = hasher;
    }

    /** Returns a parser for operators' tickets, which may contain caller keys as plain text. */
    public static TicketParser withHasher(KeyHasher hasher) {
        return new TicketParser(Optional.of(hasher));
    }

    /** Returns a parser for stored tickets, which contain hashes of caller keys only. */
    static TicketParser forStoredTickets() {
        return new TicketParser(Optional.empty());
    }

    /** Returns the ticket in this JSON, or throws a {@link TicketException}. */
    public Ticket parse(byte[] json) {
        if (json.length > MAX_BYTES) {
            throw tooLarge();
        }
        TicketFields root = TicketFields.of(parseJson(json), "ticket", TICKET_FIELDS);
        long number = root.integer("number", 1, Long.MAX_VALUE);
        List<ConfigurationChange> changes = new ArrayList<>();
        root.objects("workspaces", WORKSPACE_FIELDS)
                .forEach(item -> changes.add(parseWorkspace(item)));
        root.objects("keys", KEY_FIELDS).forEach(item -> changes.add(parseKey(item)));
        root.objects("models", MODEL_FIELDS).forEach(item -> changes.add(parseModel(item)));
        root.objects("services", SERVICE_FIELDS).forEach(item -> changes.add(parseService(item)));
        checkChanges(number, changes);
        Ticket ticket = Ticket.of(number, changes);
        if (ticket.toJson().length > MAX_BYTES) {
            throw tooLarge();
        }
        return ticket;
    }

    private static JsonNode parseJson(byte[] json) {
        try {
            return JSON.readTree(json);
        } catch (JsonProcessingException e) {
            // Omits Jackson's message, which may quote a caller key from the input.
            String where =
                    e.getLocation() == null ? "" : " near line " + e.getLocation().getLineNr();
            throw new TicketException(
                    Code.MALFORMED, "the ticket is not JSON, or has a field twice," + where);
        } catch (IOException e) {
            throw new TicketException(Code.MALFORMED, "the ticket can't be read");
        }
    }

    private static void checkChanges(long number, List<ConfigurationChange> changes) {
        if (changes.isEmpty()) {
            throw new TicketException(Code.EMPTY, "ticket " + number + " changes nothing");
        }
        Set<String> seen = new HashSet<>();
        for (ConfigurationChange change : changes) {
            if (!seen.add(change.objectId())) {
                throw new TicketException(
                        Code.DUPLICATE_OBJECT,
                        change.objectId() + " occurs twice in ticket " + number);
            }
        }
    }

    private static ConfigurationChange parseWorkspace(TicketFields fields) {
        WorkspaceId id = fields.id("id", WorkspaceId::of);
        if (fields.isRemoved()) {
            return new ConfigurationChange.RemoveWorkspace(id);
        }
        double weight = fields.has("weight") ? fields.number("weight", MIN_WEIGHT, MAX_WEIGHT) : 1;
        return new ConfigurationChange.SetWorkspace(
                new Workspace(
                        id,
                        fields.number("rate", 0, MAX_TOKENS),
                        fields.number("burst", 0, MAX_TOKENS),
                        weight));
    }

    private ConfigurationChange parseKey(TicketFields fields) {
        String state = fields.text("state");
        if (!state.equals("granted") && !state.equals("withdrawn")) {
            throw fields.badValue("state", "must be granted or withdrawn");
        }
        return new ConfigurationChange.SetKey(
                new CallerKey(
                        fields.id("id", KeyId::of),
                        fields.id("workspace", WorkspaceId::of),
                        parseHash(fields),
                        state.equals("granted")));
    }

    private String parseHash(TicketFields fields) {
        if (fields.has("key") == fields.has("hash")) {
            throw fields.badValue("key", "exactly one of key and hash must be given");
        }
        if (fields.has("key")) {
            String text = fields.text("key");
            return hasher.orElseThrow(
                            () ->
                                    fields.badValue(
                                            "key",
                                            "is not allowed in a stored ticket, only its hash is"))
                    .hash(text);
        }
        String hash = fields.text("hash");
        if (!HASH_PATTERN.matcher(hash).matches()) {
            throw fields.badValue("hash", "must be 64 lower case hexadecimal digits");
        }
        return hash;
    }

    private static ConfigurationChange parseModel(TicketFields fields) {
        ModelName name = fields.id("name", ModelName::of);
        if (fields.isRemoved()) {
            return new ConfigurationChange.RemoveModel(name);
        }
        Optional<ModelName> base =
                fields.has("base")
                        ? Optional.of(fields.id("base", ModelName::of))
                        : Optional.empty();
        int replicas =
                fields.has("max_replicas")
                        ? (int) fields.integer("max_replicas", 1, MAX_REPLICAS)
                        : 1;
        return new ConfigurationChange.SetModel(
                new Model(
                        name,
                        fields.text("version"),
                        fields.id("pool", PoolName::of),
                        base,
                        fields.integer("memory_bytes", 1, Long.MAX_VALUE),
                        replicas,
                        Set.copyOf(fields.list("workspaces", WorkspaceId::of))));
    }

    private static ConfigurationChange parseService(TicketFields fields) {
        ServiceName name = fields.id("name", ServiceName::of);
        if (fields.isRemoved()) {
            return new ConfigurationChange.RemoveService(name);
        }
        return new ConfigurationChange.SetService(
                new Service(
                        name,
                        fields.id("pool", PoolName::of),
                        fields.list("idempotent", TicketParser::parseCall),
                        Set.copyOf(fields.list("workspaces", WorkspaceId::of))));
    }

    private static String parseCall(String text) {
        if (!CALL_PATTERN.matcher(text).matches()) {
            throw new IllegalArgumentException(
                    "must be a method and a path, for example POST /lookup");
        }
        return text;
    }

    private static TicketException tooLarge() {
        return new TicketException(Code.TOO_LARGE, "a ticket has at most " + MAX_BYTES + " bytes");
    }
}
