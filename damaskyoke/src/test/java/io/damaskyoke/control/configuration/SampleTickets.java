package io.damaskyoke.control.configuration;

import java.nio.charset.StandardCharsets;

/** Creates small tickets for tests. */
public final class SampleTickets {
    private static final TicketParser PARSER =
            TicketParser.withHasher(KeyHasher.of("0123456789abcdef"));

    private SampleTickets() {}

    public static Ticket ticket(String json) {
        return PARSER.parse(json.getBytes(StandardCharsets.UTF_8));
    }

    public static Ticket workspace(long number, String id, int rate) {
        return ticket(
                "{\"number\":%d,\"workspaces\":[{\"id\":\"%s\",\"rate\":%d,\"burst\":%d}]}"
                        .formatted(number, id, rate, rate));
    }

    public static Ticket workspaceRemoval(long number, String id) {
        return ticket(
                "{\"number\":%d,\"workspaces\":[{\"id\":\"%s\",\"removed\":true}]}"
                        .formatted(number, id));
    }

    public static String keyTicketJson(
            long number, String id, String workspace, String key, String state) {
        return "{\"number\":%d,\"keys\":[{\"id\":\"%s\",\"workspace\":\"%s\",\"key\":\"%s\",\"state\":\"%s\"}]}"
                .formatted(number, id, workspace, key, state);
    }

    public static Ticket model(long number, String name, String base) {
        String adapter = base.isEmpty() ? "" : ",\"base\":\"" + base + "\"";
        return ticket(
                "{\"number\":%d,\"models\":[{\"name\":\"%s\",\"version\":\"1\",\"pool\":\"p\",\"memory_bytes\":1%s}]}"
                        .formatted(number, name, adapter));
    }
}
