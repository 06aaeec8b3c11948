package io.damaskyoke.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;

/**
 * One row of the table of keys.
 *
 * @param name section and key: {@code caller.port}
 * @param kind the type of its value
 * @param doc one line for operators
 * @param fallback the default as written, or null if there is none
 * @param min the lowest value as written, or null
 * @param max the highest value as written, or null
 * @param choices the words allowed; empty for other kinds
 * @param required whether the file must have it
 * @param secret whether its value is kept out of messages
 */
record Key(
        String name,
        Kind kind,
        String doc,
        String fallback,
        String min,
        String max,
        List<String> choices,
        boolean required,
        boolean secret) {
    private static final int SHOWN = 60;

    static Key of(String name, Kind kind, String doc) {
        return new Key(name, kind, doc, null, null, null, List.of(), true, false);
    }

    Key fallback(String text) {
        return new Key(name, kind, doc, text, min, max, choices, false, secret);
    }

    Key optional() {
        return new Key(name, kind, doc, null, min, max, choices, false, secret);
    }

    Key range(String lowest, String highest) {
        return new Key(name, kind, doc, fallback, lowest, highest, choices, required, secret);
    }

    Key choices(String... words) {
        return new Key(name, kind, doc, fallback, min, max, List.of(words), required, secret);
    }

    Key hidden() {
        return new Key(name, kind, doc, fallback, min, max, choices, required, true);
    }

    String section() {
        return name.substring(0, name.indexOf('.'));
    }

    String shortName() {
        return name.substring(name.indexOf('.') + 1);
    }

    /** The value, or nothing if the node isn't allowed. */
    Optional<Object> read(JsonNode node) {
        return kind.read(node).filter(this::inRange).filter(this::isChoice);
    }

    /** What may stand in the file: type, bounds and choices. */
    String allowed() {
        if (!choices.isEmpty()) {
            return "\"" + String.join("\", \"", choices) + "\"";
        }
        return kind.allowed() + (min == null ? "" : ", from " + min + " to " + max);
    }

    /** How a fault shows what stands in the file. */
    String show(JsonNode node) {
        if (secret) {
            return "a value that isn't shown";
        }
        String text = node.toString();
        if (kind == Kind.URL || kind == Kind.URLS) {
            text = text.replaceAll("//.*@", "//...@");
        }
        return text.length() <= SHOWN ? text : text.substring(0, SHOWN) + "...";
    }

    @SuppressWarnings("unchecked")
    private boolean inRange(Object value) {
        if (min == null) {
            return true;
        }
        Comparable<Object> comparable = (Comparable<Object>) value;
        return comparable.compareTo(kind.parse(min)) >= 0
                && comparable.compareTo(kind.parse(max)) <= 0;
    }

    private boolean isChoice(Object value) {
        return choices.isEmpty() || choices.contains(value);
    }
}
