package io.damaskyoke.daemons;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;

/** Asks a router on its operator port: {@code client.get("status", Map.of())}. */
final class OperatorClient {
    private static final String BASE = "/operator/v1/";
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration ONE_OF_MANY_TIMEOUT = Duration.ofSeconds(5);
    private static final int FIRST_NOT_GOOD = 300;
    private static final int FIRST_GOOD = 200;

    private final HttpClient http;
    private final URI router;
    private final String token;
    private final Duration timeout;

    private OperatorClient(HttpClient http, URI router, String token, Duration timeout) {
        this.http = http;
        this.timeout = timeout;
        this.router = router;
        this.token = token;
    }

    static OperatorClient of(URI router, String token) {
        HttpClient http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .followRedirects(HttpClient.Redirect.NEVER)
                        .build();
        return new OperatorClient(http, router, token, ANSWER_TIMEOUT);
    }

    /** A client of another process with the same token. */
    OperatorClient at(URI process) {
        return new OperatorClient(http, process, token, ONE_OF_MANY_TIMEOUT);
    }

    /** The body of a good answer; fails with one line otherwise. */
    String get(String path, Map<String, String> query) {
        return send(request(path, query).GET().build(), "can't be reached");
    }

    /** Posts JSON and gives the body of a good answer; fails with one line otherwise. */
    String post(String path, String json) {
        HttpRequest request =
                request(path, Map.of())
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(json))
                        .build();
        return send(
                request,
                "gave no answer; it may have accepted the ticket: submit the same one again");
    }

    private HttpRequest.Builder request(String path, Map<String, String> query) {
        String parameters =
                query.entrySet().stream()
                        .map(each -> each.getKey() + "=" + encode(each.getValue()))
                        .sorted()
                        .collect(Collectors.joining("&"));
        URI url = router.resolve(BASE + path + (parameters.isEmpty() ? "" : "?" + parameters));
        try {
            return HttpRequest.newBuilder(url)
                    .timeout(timeout)
                    .header("Authorization", "Bearer " + token);
        } catch (IllegalArgumentException e) {
            throw CommandException.usage("the token has characters that HTTP doesn't allow");
        }
    }

    private String send(HttpRequest request, String onSilence) {
        try {
            HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
            if (answer.statusCode() < FIRST_GOOD || answer.statusCode() >= FIRST_NOT_GOOD) {
                throw refused(answer);
            }
            return answer.body();
        } catch (IOException e) {
            throw CommandException.failed(
                    router + " " + onSilence + " (" + e.getClass().getSimpleName() + ")");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw CommandException.failed("interrupted");
        }
    }

    private CommandException refused(HttpResponse<String> answer) {
        String body = answer.body().replaceAll("\\s+", " ").strip();
        return CommandException.failed(
                router + " answered " + answer.statusCode() + (body.isEmpty() ? "" : ": " + body));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
