package io.damaskyoke.upstream;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.upstream.UpstreamException.Code;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.apache.pekko.util.ByteString;

/** The JSON of the orders to an engine and of its report. */
final class EngineMessages {
    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .serializationInclusion(JsonInclude.Include.NON_NULL)
                    .build();

    private EngineMessages() {}

    static ByteString load(Model model, long fencing) {
        return json(
                new Load(
                        model.name().value(),
                        model.version(),
                        model.base().isPresent() ? "adapter" : "model",
                        model.base().map(ModelName::value).orElse(null),
                        model.memoryBytes(),
                        fencing));
    }

    static ByteString unload(ModelName model, long fencing) {
        return json(new Unload(model.value(), fencing));
    }

    static Engine.Report report(ByteString body) {
        try {
            return JSON.readValue(body.toArray(), ReportMessage.class).report();
        } catch (IOException | IllegalArgumentException e) {
            throw new UpstreamException(Code.BAD_ANSWER, "the engine's report can't be read", e);
        }
    }

    private static ByteString json(Object message) {
        try {
            return ByteString.fromArray(JSON.writeValueAsBytes(message));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record can't be written as JSON", e);
        }
    }

    private record Load(
            String model,
            String version,
            String kind,
            String base,
            long memoryBytes,
            long fencing) {}

    private record Unload(String model, long fencing) {}

    private record ReportMessage(
            long memoryBytes,
            long memoryUsedBytes,
            List<HeldMessage> loaded,
            List<HeldMessage> loading,
            int running,
            int waiting,
            List<String> cachedOnDisk) {
        private ReportMessage {
            Objects.requireNonNull(loaded, "loaded");
            Objects.requireNonNull(loading, "loading");
            Objects.requireNonNull(cachedOnDisk, "cached_on_disk");
        }

        Engine.Report report() {
            return new Engine.Report(
                    memoryBytes,
                    memoryUsedBytes,
                    loaded.stream().map(HeldMessage::held).toList(),
                    loading.stream().map(HeldMessage::held).toList(),
                    cachedOnDisk.stream().map(ModelName::of).toList(),
                    running,
                    waiting);
        }
    }

    private record HeldMessage(String model, long memoryBytes, String version) {
        Engine.Held held() {
            return new Engine.Held(ModelName.of(model), memoryBytes, Optional.ofNullable(version));
        }
    }
}
