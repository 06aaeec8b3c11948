package io.damaskyoke.daemons;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;

/** Prints a router's time line for people, one event a line. */
final class TimelineText {
    private TimelineText() {}

    /** Lines such as {@code 2026-12-03T07:00:00.123Z router-1 loaded cut-sheet ms=812}. */
    static String of(String json) {
        StringBuilder lines = new StringBuilder();
        for (JsonNode event : events(json)) {
            lines.append(line(event)).append('\n');
        }
        return lines.toString();
    }

    private static JsonNode events(String json) {
        try {
            JsonNode root = new ObjectMapper().readTree(json);
            JsonNode events = root.isArray() ? root : root.path("events");
            if (events.isArray()) {
                return events;
            }
        } catch (JsonProcessingException e) {
            throw unreadable();
        }
        throw unreadable();
    }

    private static String line(JsonNode event) {
        StringBuilder line = new StringBuilder();
        for (String field : new String[] {"at", "process", "type", "subject"}) {
            line.append(event.path(field).asText("-")).append(' ');
        }
        for (Map.Entry<String, JsonNode> detail : event.path("details").properties()) {
            line.append(detail.getKey()).append('=').append(detail.getValue().asText()).append(' ');
        }
        return line.toString().replaceAll("\\p{Cntrl}", "?").strip();
    }

    private static CommandException unreadable() {
        return CommandException.failed("the router's time line can't be read; try --json");
    }
}
