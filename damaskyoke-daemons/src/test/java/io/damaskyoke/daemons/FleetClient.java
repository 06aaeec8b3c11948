package io.damaskyoke.daemons;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** The HTTP that callers and operators of a {@link TestFleet} speak. */
final class FleetClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration LIMIT = Duration.ofSeconds(40);

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(5))
                    .build();

    static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    HttpResponse<String> get(String url, String key) {
        return join(send(request(url, key, Map.of()).GET().build()));
    }

    HttpResponse<String> post(String url, String key, String body) {
        return join(postLater(url, key, body, Map.of()));
    }

    CompletableFuture<HttpResponse<String>> postLater(
            String url, String key, String body, Map<String, String> headers) {
        HttpRequest.Builder request = request(url, key, headers);
        return send(request.POST(HttpRequest.BodyPublishers.ofString(body)).build());
    }

    private CompletableFuture<HttpResponse<String>> send(HttpRequest request) {
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest.Builder request(
            String url, String key, Map<String, String> headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(url))
                        .timeout(LIMIT)
                        .header("Content-Type", "application/json")
                        .header("Authorization", "Bearer " + key);
        headers.forEach(request::header);
        return request;
    }

    private static <T> T join(CompletableFuture<T> future) {
        try {
            return future.join();
        } catch (CompletionException e) {
            throw e.getCause() instanceof IOException cause ? new UncheckedIOException(cause) : e;
        }
    }
}
