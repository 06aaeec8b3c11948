package io.damaskyoke.platform;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** An HTTP server that answers as it was told, in order, and keeps what it was asked. */
final class ScriptedGateway {
    private static final long BODY_MILLIS = 10_000;

    private final ActorSystem system;
    private final Queue<CompletionStage<HttpResponse>> answers = new ConcurrentLinkedQueue<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private ServerBinding binding;

    private ScriptedGateway(ActorSystem system) {
        this.system = system;
    }

    static ScriptedGateway start(ActorSystem system) {
        ScriptedGateway gateway = new ScriptedGateway(system);
        gateway.binding =
                Http.get(system)
                        .newServerAt("127.0.0.1", 0)
                        .bind(gateway::handle)
                        .toCompletableFuture()
                        .join();
        return gateway;
    }

    URI address() {
        return URI.create("http://127.0.0.1:" + binding.localAddress().getPort());
    }

    List<String> requests() {
        return List.copyOf(requests);
    }

    void answer(int status, String body) {
        HttpResponse response =
                HttpResponse.create()
                        .withStatus(status)
                        .withEntity(
                                ContentTypes.APPLICATION_JSON,
                                body.getBytes(StandardCharsets.UTF_8));
        answers.add(CompletableFuture.completedFuture(response));
    }

    /** Answers in chunks, and then ends. */
    void stream(String... lines) {
        var chunks = Source.from(List.of(lines)).map(ByteString::fromString);
        answers.add(
                CompletableFuture.completedFuture(
                        HttpResponse.create()
                                .withEntity(
                                        HttpEntities.create(
                                                ContentTypes.APPLICATION_JSON, chunks))));
    }

    /** Announces a body and breaks off in the middle of it. */
    void cut() {
        Source<ByteString, ?> broken =
                Source.single(ByteString.fromString("{"))
                        .concatLazy(
                                Source.lazySource(
                                        () ->
                                                Source.failed(
                                                        new IllegalStateException(
                                                                "cut on purpose"))));
        answers.add(
                CompletableFuture.completedFuture(
                        HttpResponse.create()
                                .withEntity(
                                        HttpEntities.create(
                                                ContentTypes.APPLICATION_JSON, broken))));
    }

    /** Never answers. */
    void silence() {
        answers.add(new CompletableFuture<>());
    }

    void stop() {
        binding.terminate(Duration.ofMillis(1)).toCompletableFuture().join();
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request) {
        return request.entity()
                .toStrict(BODY_MILLIS, system)
                .thenCompose(
                        body -> {
                            requests.add(
                                    request.getUri().path() + " " + body.getData().utf8String());
                            return answers.remove();
                        });
    }
}
