package io.damaskyoke.caller;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ModelName;
import java.io.IOException;
import org.apache.pekko.util.ByteString;

/** What has to be known of the body of a model call; the body itself is passed on as it came. */
record ModelCall(ModelName model, boolean stream, long tokens) {
    /**
     * Doubled fields are refused: with two "model" fields we could check the rights to the first
     * while the engine runs the second.
     */
    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .build();

    /** Reads the body of a call to this route, or says what is wrong with it. */
    static ModelCall of(Route.Kind kind, ByteString body) {
        JsonNode json = parse(body);
        check(json.isObject(), "the body must be a JSON object");
        JsonNode model = json.path("model");
        check(model.isTextual() && !model.textValue().isEmpty(), "model must be a name");
        JsonNode stream = json.path("stream");
        check(
                stream.isBoolean() || stream.isMissingNode() || stream.isNull(),
                "stream must be true or false");
        JsonNode prompt = prompt(kind, json);
        return new ModelCall(
                name(model.textValue()),
                stream.booleanValue(),
                TokenEstimate.ofModelCall(prompt, json));
    }

    private static JsonNode prompt(Route.Kind kind, JsonNode json) {
        if (kind == Route.Kind.CHAT) {
            JsonNode messages = json.path("messages");
            check(messages.isArray() && !messages.isEmpty(), "messages must be a non-empty array");
            return messages;
        }
        JsonNode prompt = json.path("prompt");
        check(prompt.isTextual() || prompt.isArray(), "prompt must be a text or an array");
        return prompt;
    }

    private static JsonNode parse(ByteString body) {
        try {
            return JSON.readTree(body.toArray());
        } catch (JsonProcessingException e) {
            throw CallerException.of(
                    RefusalCode.MALFORMED_REQUEST,
                    "the body is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw CallerException.of(RefusalCode.MALFORMED_REQUEST, "the body is not JSON");
        }
    }

    static ModelName name(String text) {
        try {
            return ModelName.of(text);
        } catch (IllegalArgumentException e) {
            throw CallerException.of(RefusalCode.UNKNOWN_MODEL, "no such model");
        }
    }

    private static void check(boolean right, String message) {
        if (!right) {
            throw CallerException.of(RefusalCode.MALFORMED_REQUEST, message);
        }
    }
}
