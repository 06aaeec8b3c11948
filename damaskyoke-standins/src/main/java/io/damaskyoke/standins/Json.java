package io.damaskyoke.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Reads and writes the JSON that the stand-ins speak. */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    static JsonNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }

    /** Reads any JSON value; an empty body counts as an empty object. */
    static JsonNode parse(byte[] body) {
        if (body.length == 0) {
            return object();
        }
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw StandInException.badRequest("The body is not JSON: " + e.getMessage());
        }
    }

    /** Reads a JSON object, and refuses anything else. */
    static JsonNode parseObject(byte[] body) {
        JsonNode node = parse(body);
        if (!node.isObject()) {
            throw StandInException.badRequest("The body must be a JSON object");
        }
        return node;
    }

    static <T> T convert(JsonNode node, Class<T> type) {
        try {
            return MAPPER.treeToValue(node, type);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw StandInException.badRequest("Unexpected JSON: " + e.getMessage());
        }
    }

    static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw StandInException.badRequest("Field \"" + field + "\" must be a non-empty string");
        }
        return value.textValue();
    }

    static byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    static HttpResponse answer(JsonNode node) {
        return answer(OK, node);
    }

    static HttpResponse answer(int status, JsonNode node) {
        return HttpResponse.create()
                .withStatus(status)
                .withEntity(ContentTypes.APPLICATION_JSON, bytes(node));
    }
}
