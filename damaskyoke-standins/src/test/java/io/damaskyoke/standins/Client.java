package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.concurrent.CompletableFuture;

/** A caller for the tests. */
final class Client {
    private final HttpClient http = HttpClient.newHttpClient();
    private final String url;

    Client(String url) {
        this.url = url;
    }

    static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    HttpResponse<String> call(String method, String path, String body, String... headers) {
        try {
            return http.send(request(method, path, body, headers), BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    CompletableFuture<HttpResponse<String>> later(String path, String body) {
        return http.sendAsync(request("POST", path, body), BodyHandlers.ofString());
    }

    InputStream open(String path, String body) throws IOException, InterruptedException {
        return http.send(request("POST", path, body), BodyHandlers.ofInputStream()).body();
    }

    JsonNode post(String path, String body) {
        return json(call("POST", path, body).body());
    }

    JsonNode read(String path) {
        return json(call("GET", path, "").body());
    }

    static JsonNode json(String text) {
        return Json.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private HttpRequest request(String method, String path, String body, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(url + path))
                        .version(HttpClient.Version.HTTP_1_1)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        return request.build();
    }
}
