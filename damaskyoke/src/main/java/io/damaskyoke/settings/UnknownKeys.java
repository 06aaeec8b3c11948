package io.damaskyoke.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Finds the keys of a file that the table doesn't have, and names the closest one that it has. */
final class UnknownKeys {
    private UnknownKeys() {}

    static List<Fault> find(JsonNode root, List<Key> keys, String file) {
        Set<String> names = keys.stream().map(Key::name).collect(Collectors.toSet());
        Set<String> sections = keys.stream().map(Key::section).collect(Collectors.toSet());
        List<Fault> faults = new ArrayList<>();
        for (String name : namesIn(root)) {
            if (!names.contains(name) && !sections.contains(name)) {
                faults.add(unknown(name, keys, file));
            }
        }
        for (String section : sections) {
            if (root.has(section) && !root.get(section).isObject()) {
                faults.add(new Fault(file, section, "a single value", "a section with keys"));
            }
        }
        return faults;
    }

    private static List<String> namesIn(JsonNode root) {
        List<String> names = new ArrayList<>();
        for (Map.Entry<String, JsonNode> section : root.properties()) {
            if (!section.getValue().isObject() || section.getValue().isEmpty()) {
                names.add(section.getKey());
            }
            section.getValue()
                    .fieldNames()
                    .forEachRemaining(key -> names.add(section.getKey() + "." + key));
        }
        return names;
    }

    private static Fault unknown(String name, List<Key> keys, String file) {
        boolean section = name.indexOf('.') < 0;
        String closest =
                keys.stream()
                        .map(section ? Key::section : Key::name)
                        .min(Comparator.comparingInt(known -> distance(name, known)))
                        .orElseThrow();
        String allowed = "the closest known " + (section ? "section" : "key") + " is " + closest;
        return new Fault(file, name, section ? "an unknown section" : "an unknown key", allowed);
    }

    /** The Levenshtein distance: how many characters to add, take out or replace. */
    private static int distance(String from, String to) {
        int[] row = new int[to.length() + 1];
        for (int column = 0; column <= to.length(); column++) {
            row[column] = column;
        }
        for (int line = 1; line <= from.length(); line++) {
            int diagonal = row[0];
            row[0] = line;
            for (int column = 1; column <= to.length(); column++) {
                int replaced = diagonal + (from.charAt(line - 1) == to.charAt(column - 1) ? 0 : 1);
                diagonal = row[column];
                row[column] = Math.min(replaced, 1 + Math.min(row[column], row[column - 1]));
            }
        }
        return row[to.length()];
    }
}
