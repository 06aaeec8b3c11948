package io.damaskyoke.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes trees: {@code JsonTrees.read(bytes).path("port").asInt()}. */
public final class JsonTrees {
    /**
     * The deepest nesting that is read. Each level takes some hundred bytes of the thread's stack.
     * A stack overflow is an error, which callers that skip unreadable input would not catch.
     */
    public static final int MAX_DEPTH = 64;

    private static final StreamReadConstraints LIMITS =
            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build();

    // Names are not interned: those that another writer makes up would be kept for all of the
    // process, which takes several times as long as reading them.
    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(LIMITS)
                    .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                    .build();

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    /** Returns the limits within which trees can be read, for parsers of other formats. */
    public static StreamReadConstraints limits() {
        return LIMITS;
    }

    /** An empty object. */
    public static ObjectNode object() {
        return NODES.objectNode();
    }

    /**
     * The first value in the bytes; a missing node if there is none.
     *
     * @throws IOException if it is not JSON, or nested deeper than {@link #MAX_DEPTH}
     */
    public static JsonNode read(byte[] json) throws IOException {
        try (JsonParser parser = FACTORY.createParser(json)) {
            return read(parser);
        }
    }

    /**
     * The next value of the parser, which keeps to {@link #limits}; a missing node if there is
     * none.
     *
     * @throws IOException if it can't be parsed
     */
    public static JsonNode read(JsonParser parser) throws IOException {
        JsonToken first = parser.nextToken();
        return first == null ? MissingNode.getInstance() : value(parser, first);
    }

    private static JsonNode value(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case START_OBJECT -> fields(parser);
            case START_ARRAY -> elements(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> whole(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new IOException("no value at " + token);
        };
    }

    private static JsonNode fields(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        for (JsonToken next = parser.nextToken();
                next != JsonToken.END_OBJECT;
                next = parser.nextToken()) {
            String name = parser.currentName();
            JsonToken begins = next == null ? null : parser.nextToken();
            if (begins == null) {
                throw new IOException("the end comes within an object");
            }
            object.set(name, value(parser, begins));
        }
        return object;
    }

    private static JsonNode elements(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        for (JsonToken next = parser.nextToken();
                next != JsonToken.END_ARRAY;
                next = parser.nextToken()) {
            if (next == null) {
                throw new IOException("the end comes within a list");
            }
            array.add(value(parser, next));
        }
        return array;
    }

    private static JsonNode whole(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    /** The tree as bytes. */
    public static byte[] write(JsonNode tree) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            write(tree, generator);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonNode node, JsonGenerator to) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> {
                to.writeStartObject();
                for (var field : node.properties()) {
                    to.writeFieldName(field.getKey());
                    write(field.getValue(), to);
                }
                to.writeEndObject();
            }
            case ARRAY -> {
                to.writeStartArray();
                for (JsonNode element : node) {
                    write(element, to);
                }
                to.writeEndArray();
            }
            case STRING -> to.writeString(node.textValue());
            case NUMBER -> writeNumber(node, to);
            case BOOLEAN -> to.writeBoolean(node.booleanValue());
            default -> to.writeNull();
        }
    }

    private static void writeNumber(JsonNode node, JsonGenerator to) throws IOException {
        if (node.isBigInteger()) {
            to.writeNumber(node.bigIntegerValue());
        } else if (node.isIntegralNumber()) {
            to.writeNumber(node.longValue());
        } else {
            to.writeNumber(node.doubleValue());
        }
    }
}
