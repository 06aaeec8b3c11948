package io.damaskyoke.daemons;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Merges the time lines of many processes by hybrid time, so that a cause comes before its effect
 * even if the clocks of the VMs differ.
 */
final class TimelineMerge {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Comparator<JsonNode> ORDER =
            Comparator.<JsonNode>comparingLong(event -> event.path("time").asLong())
                    .thenComparingLong(event -> event.path("counter").asLong())
                    .thenComparing(event -> event.path("process").asText());

    private TimelineMerge() {}

    /** One JSON line an event, oldest first, from bodies of such lines. */
    static String of(List<String> bodies) {
        List<JsonNode> events = new ArrayList<>();
        bodies.forEach(body -> body.lines().forEach(line -> events.add(event(line))));
        events.sort(ORDER);
        StringBuilder merged = new StringBuilder();
        events.forEach(event -> merged.append(event).append('\n'));
        return merged.toString();
    }

    private static JsonNode event(String line) {
        try {
            return JSON.readTree(line);
        } catch (JsonProcessingException e) {
            throw CommandException.failed("a process's time line can't be read");
        }
    }
}
