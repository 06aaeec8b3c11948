package io.damaskyoke.control.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * The state that results from applying the log up to one entry: the configuration and the accepted
 * ticket numbers. It replaces all entries up to {@link #sequence()}.
 *
 * @param configuration the configuration as of the last entry
 * @param history the accepted ticket numbers
 */
public record ConfigurationSnapshot(Configuration configuration, TicketHistory history) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Returns the sequence number of the last applied entry. */
    public long sequence() {
        return configuration.sequence();
    }

    /** Returns the stored form: compressed JSON, with the same bytes for equal snapshots. */
    public byte[] encode() {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put("sequence", sequence());
        ObjectNode last = root.putObject("last_ticket");
        new TreeMap<>(configuration.lastTicket()).forEach(last::put);
        root.put("floor", history.floor());
        ArrayNode accepted = root.putArray("accepted");
        for (TicketHistory.Accepted each : history.acceptedTickets()) {
            accepted.addArray().add(each.number()).add(each.sequence()).add(each.digest());
        }
        try {
            ArrayNode objects = root.putArray("objects");
            for (ConfigurationChange change : toChanges()) {
                objects.add(JSON.readTree(Ticket.of(1, List.of(change)).toJson()));
            }
            return gzip(JSON.writeValueAsBytes(root));
        } catch (IOException e) {
            throw new IllegalStateException("writing a snapshot to memory failed", e);
        }
    }

    /** Decodes the stored form, or throws a {@link TicketException} with {@code BAD_VALUE}. */
    public static ConfigurationSnapshot decode(byte[] bytes) {
        try (GZIPInputStream unzipped = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
            return fromJson(JSON.readTree(unzipped));
        } catch (IOException | RuntimeException e) {
            throw new TicketException(
                    TicketException.Code.BAD_VALUE,
                    "can't decode a snapshot of the configuration: " + e.getMessage());
        }
    }

    private static ConfigurationSnapshot fromJson(JsonNode root) throws JsonProcessingException {
        ConfigurationDraft draft = ConfigurationDraft.of(Configuration.EMPTY);
        long sequence = root.get("sequence").longValue();
        // Parses one object at a time, since all together may exceed the size limit of a ticket.
        for (JsonNode object : root.get("objects")) {
            draft.apply(
                    TicketParser.forStoredTickets().parse(JSON.writeValueAsBytes(object)),
                    sequence);
        }
        draft.updateLastTickets(
                tickets -> {
                    tickets.clear();
                    root.get("last_ticket")
                            .fields()
                            .forEachRemaining(
                                    each -> tickets.put(each.getKey(), each.getValue().asLong()));
                });
        TicketHistory history = new TicketHistory(root.get("floor").longValue());
        for (JsonNode each : root.get("accepted")) {
            history.add(
                    new TicketHistory.Accepted(
                            each.get(0).longValue(),
                            each.get(1).longValue(),
                            each.get(2).textValue()));
        }
        return new ConfigurationSnapshot(draft.build(sequence), history);
    }

    private List<ConfigurationChange> toChanges() {
        List<ConfigurationChange> all = new ArrayList<>();
        configuration
                .workspaces()
                .values()
                .forEach(it -> all.add(new ConfigurationChange.SetWorkspace(it)));
        configuration.keys().values().forEach(it -> all.add(new ConfigurationChange.SetKey(it)));
        configuration
                .models()
                .values()
                .forEach(it -> all.add(new ConfigurationChange.SetModel(it)));
        configuration
                .services()
                .values()
                .forEach(it -> all.add(new ConfigurationChange.SetService(it)));
        return all;
    }

    private static byte[] gzip(byte[] plain) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (GZIPOutputStream zip = new GZIPOutputStream(out)) {
            zip.write(plain);
        }
        return out.toByteArray();
    }
}
