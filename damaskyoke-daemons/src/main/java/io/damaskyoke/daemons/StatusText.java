package io.damaskyoke.daemons;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Prints the status of all processes for people, one process a line. */
final class StatusText {
    private static final List<String> HEAD =
            List.of(
                    "VM",
                    "ROLE",
                    "ZONE",
                    "CONFIG",
                    "CONFIRMED",
                    "STORE",
                    "WAITING",
                    "RUNNING",
                    "MEMORY",
                    "STATE");
    private static final String NONE = "-";
    private static final int MEBIBYTE = 1 << 20;

    private final List<List<String>> rows = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();
    private final long newest;

    private StatusText(long newest) {
        this.newest = newest;
    }

    /** A table of those who answered, then a line for each thing to look at. */
    static String of(Map<String, JsonNode> answers, Map<String, String> silent) {
        long newest = answers.values().stream().mapToLong(StatusText::sequence).max().orElse(0);
        StatusText text = new StatusText(newest);
        answers.values().forEach(text::add);
        silent.forEach((vm, fault) -> text.notes.add(vm + " did not answer: " + fault));
        return text.print();
    }

    private void add(JsonNode status) {
        rows.add(
                List.of(
                        text(status, "vm"),
                        text(status, "role"),
                        text(status, "availability_zone"),
                        text(status, "config_sequence"),
                        confirmed(status),
                        text(status, "store"),
                        text(status, "waiting"),
                        text(status, "running"),
                        memory(status),
                        state(status)));
        if (sequence(status) < newest) {
            notes.add(
                    text(status, "vm")
                            + " lags: configuration "
                            + sequence(status)
                            + ", others have "
                            + newest);
        }
    }

    private String print() {
        List<List<String>> all = new ArrayList<>();
        all.add(HEAD);
        all.addAll(rows);
        StringBuilder out = new StringBuilder();
        for (List<String> row : all) {
            out.append(line(row, all)).append('\n');
        }
        notes.forEach(note -> out.append(note).append('\n'));
        return out.toString().replaceAll("[\\p{Cntrl}&&[^\n]]", "?");
    }

    private static String line(List<String> row, List<List<String>> all) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < row.size(); i++) {
            int column = i;
            int width = all.stream().mapToInt(each -> each.get(column).length()).max().orElse(0);
            line.append(String.format("%-" + (width + 2) + "s", row.get(i)));
        }
        return line.toString().strip();
    }

    private static String confirmed(JsonNode status) {
        JsonNode age = status.path("config_confirmed_ms_ago");
        return age.isNumber() ? String.format("%.1fs", age.asLong() / 1000.0) : "never";
    }

    private static String memory(JsonNode status) {
        long all = status.path("memory_bytes").asLong();
        long used = status.path("memory_used_bytes").asLong();
        return all == 0 ? NONE : used / MEBIBYTE + "/" + all / MEBIBYTE + "MiB";
    }

    private static String state(JsonNode status) {
        List<String> parts = new ArrayList<>();
        if (status.path("draining").asBoolean()) {
            parts.add("draining");
        }
        if (!status.path("loaded").isEmpty()) {
            parts.add("loaded=" + names(status.path("loaded")));
        }
        if (!status.path("loading").isEmpty()) {
            parts.add("loading=" + names(status.path("loading")));
        }
        if (status.has("agents")) {
            parts.add("agents=" + status.path("agents").size());
        }
        return parts.isEmpty() ? NONE : String.join(" ", parts);
    }

    private static String names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(name -> names.add(name.asText()));
        return String.join(",", names);
    }

    private static long sequence(JsonNode status) {
        return status.path("config_sequence").asLong();
    }

    private static String text(JsonNode status, String field) {
        return status.path(field).asText(NONE);
    }
}
