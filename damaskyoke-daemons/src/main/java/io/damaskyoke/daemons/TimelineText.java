package io.damaskyoke.daemons;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Prints a router's time line for people, one event a line. */
final class TimelineText {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

    private TimelineText() {}

    /** Lines such as {@code 2026-12-03T07:00:00.123Z router-1 loaded cut-sheet ms=812}. */
    static String of(String jsonLines) {
        return jsonLines
                .lines()
                .filter(line -> !line.isBlank())
                .map(line -> text(event(line)) + "\n")
                .collect(Collectors.joining());
    }

    private static JsonNode event(String line) {
        try {
            JsonNode event = JSON.readTree(line);
            if (event.isObject()) {
                return event;
            }
        } catch (JsonProcessingException e) {
            throw unreadable();
        }
        throw unreadable();
    }

    private static String text(JsonNode event) {
        StringBuilder line = new StringBuilder(TIME.format(time(event))).append(' ');
        for (String field : List.of("process", "type", "subject")) {
            line.append(event.path(field).asText("-")).append(' ');
        }
        for (Map.Entry<String, JsonNode> detail : event.path("details").properties()) {
            line.append(detail.getKey()).append('=').append(detail.getValue().asText()).append(' ');
        }
        return line.toString().replaceAll("\\p{Cntrl}", "?").strip();
    }

    private static Instant time(JsonNode event) {
        return Instant.ofEpochMilli(event.path("time").asLong());
    }

    private static CommandException unreadable() {
        return CommandException.failed("the router's time line can't be read; try --json");
    }
}
