package io.damaskyoke.control.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.control.configuration.TicketException.Code;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Reads one JSON object of a ticket strictly; every error message names the field by its path. */
final class TicketFields {
    private final JsonNode node;
    private final String path;

    private TicketFields(JsonNode node, String path) {
        this.node = node;
        this.path = path;
    }

    static TicketFields of(JsonNode node, String path, Set<String> allowed) {
        if (!node.isObject()) {
            throw new TicketException(Code.MALFORMED, path + " must be a JSON object");
        }
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!allowed.contains(name)) {
                                throw new TicketException(
                                        Code.UNKNOWN_FIELD,
                                        path + "." + name + " is not a field of a ticket");
                            }
                        });
        return new TicketFields(node, path);
    }

    boolean has(String name) {
        return node.has(name);
    }

    <T> T id(String name, Function<String, T> type) {
        String text = text(name);
        try {
            return type.apply(text);
        } catch (IllegalArgumentException e) {
            throw badValue(name, e.getMessage());
        }
    }

    String text(String name) {
        JsonNode value = node.path(name);
        if (!value.isTextual() || value.textValue().isBlank()) {
            throw badValue(name, "must be a non-blank string");
        }
        return value.textValue();
    }

    /**
     * Returns true if the object is to be removed. The field must be {@code true} or absent; any
     * other value is an error.
     */
    boolean isRemoved() {
        if (!has("removed")) {
            return false;
        }
        if (!node.path("removed").isBoolean() || !node.path("removed").booleanValue()) {
            throw badValue("removed", "must be true or absent");
        }
        if (node.size() > 2) {
            throw badValue("removed", "must be the only field beside the id or name");
        }
        return true;
    }

    long integer(String name, long min, long max) {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw badValue(name, "must be a whole number from " + min + " to " + max);
        }
        if (value.longValue() < min || value.longValue() > max) {
            throw badValue(name, "must be from " + min + " to " + max + ": " + value);
        }
        return value.longValue();
    }

    double number(String name, double min, double max) {
        JsonNode value = node.path(name);
        if (!value.isNumber() || !(value.doubleValue() >= min && value.doubleValue() <= max)) {
            throw badValue(name, "must be a number from " + min + " to " + max);
        }
        return value.doubleValue();
    }

    <T> List<T> list(String name, Function<String, T> type) {
        List<T> values = new ArrayList<>();
        for (JsonNode item : array(name)) {
            if (!item.isTextual()) {
                throw badValue(name, "must be a list of strings");
            }
            try {
                values.add(type.apply(item.textValue()));
            } catch (IllegalArgumentException e) {
                throw badValue(name, e.getMessage());
            }
        }
        return values;
    }

    List<TicketFields> objects(String name, Set<String> allowed) {
        List<TicketFields> objects = new ArrayList<>();
        for (JsonNode item : array(name)) {
            objects.add(of(item, name + "[" + objects.size() + "]", allowed));
        }
        return objects;
    }

    TicketException badValue(String name, String problem) {
        return new TicketException(Code.BAD_VALUE, path + "." + name + ": " + problem);
    }

    private Iterable<JsonNode> array(String name) {
        JsonNode value = node.path(name);
        if (!value.isMissingNode() && !value.isArray()) {
            throw badValue(name, "must be a list");
        }
        return value;
    }
}
