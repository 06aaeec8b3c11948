package io.damaskyoke.upstream;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.upstream.UpstreamException.Code;
import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.util.ByteString;

/**
 * A model engine reached by HTTP: the OpenAI API for requests, and orders to load and unload.
 *
 * <p>An order is sent once. When it fails with {@link Code#MAY_HAVE_RUN} the engine may hold the
 * model or may not; only a later report can tell. Orders don't wait behind requests: they have
 * connections of their own.
 */
public final class HttpEngine implements Engine {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int INSUFFICIENT_STORAGE = 507;
    private static final long MAX_REPORT_BYTES = 1 << 20;
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(5);

    private final HttpUpstream upstream;
    private final ActorSystem system;
    private final SingleConnection orders;
    private final Duration loadTimeout;

    private HttpEngine(Builder builder) {
        upstream = builder.upstream;
        system = builder.system;
        orders = new SingleConnection(builder.system, builder.url, builder.connectTimeout);
        loadTimeout = builder.loadTimeout;
    }

    /** Starts a builder; the upstream, the system and the URL have to be given. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public CompletableFuture<Answer.Served> send(Request request) {
        return upstream.send(request);
    }

    @Override
    public CompletionStage<Void> load(Model model, long fencing) {
        return order("/orders/load", EngineMessages.load(model, fencing));
    }

    @Override
    public CompletionStage<Void> unload(ModelName model, long fencing) {
        return order("/orders/unload", EngineMessages.unload(model, fencing));
    }

    @Override
    public CompletionStage<Report> report() {
        HttpRequest request = HttpRequest.GET("/load").addHeader(Connection.create("close"));
        return plain(
                orders.send(request, REPORT_TIMEOUT)
                        .thenCompose(response -> body(response, REPORT_TIMEOUT))
                        .thenApply(EngineMessages::report));
    }

    private CompletionStage<Void> order(String path, ByteString json) {
        HttpRequest request =
                HttpRequest.POST(path)
                        .withEntity(ContentTypes.APPLICATION_JSON, json)
                        .addHeader(Connection.create("close"));
        return plain(
                orders.send(request, loadTimeout)
                        .thenAccept(
                                response -> {
                                    orders.close(response);
                                    check(path, response.status().intValue());
                                }));
    }

    /** Takes the wrapper off a failure, so that whoever waits sees the exception with its code. */
    private static <T> CompletionStage<T> plain(CompletionStage<T> stage) {
        CompletableFuture<T> plain = new CompletableFuture<>();
        stage.whenComplete(
                (value, failure) -> {
                    if (failure instanceof CompletionException wrapper) {
                        plain.completeExceptionally(wrapper.getCause());
                    } else if (failure != null) {
                        plain.completeExceptionally(failure);
                    } else {
                        plain.complete(value);
                    }
                });
        return plain;
    }

    private static void check(String path, int status) {
        switch (status) {
            case OK -> {}
            case CONFLICT ->
                    throw new UpstreamException(
                            Code.ORDER_REFUSED, path + ": a newer fencing number was seen");
            case INSUFFICIENT_STORAGE ->
                    throw new UpstreamException(Code.OUT_OF_MEMORY, path + ": no memory");
            default -> throw new UpstreamException(Code.BAD_ANSWER, path + ": status " + status);
        }
    }

    private CompletionStage<ByteString> body(HttpResponse response, Duration timeout) {
        if (response.status().intValue() != OK) {
            orders.close(response);
            throw new UpstreamException(Code.BAD_ANSWER, "report: status " + response.status());
        }
        return response.entity()
                .withSizeLimit(MAX_REPORT_BYTES)
                .toStrict(timeout.toMillis(), system)
                .handle(
                        (strict, failure) -> {
                            if (failure != null) {
                                throw new CompletionException(
                                        new UpstreamException(
                                                Code.BAD_ANSWER, "report: broke off", failure));
                            }
                            return strict.getData();
                        });
    }

    /** Collects what an engine needs. */
    public static final class Builder {
        private HttpUpstream upstream;
        private ActorSystem system;
        private URI url;
        private Duration connectTimeout = Duration.ofSeconds(1);
        private Duration loadTimeout = Duration.ofMinutes(10);

        private Builder() {}

        /** Where requests go; the same engine as the URL of the orders. */
        public Builder upstream(HttpUpstream upstream) {
            this.upstream = upstream;
            return this;
        }

        /** The actor system that the streams run on. */
        public Builder system(ActorSystem system) {
            this.system = system;
            return this;
        }

        /** Where orders go; only scheme, host and port count. */
        public Builder url(URI url) {
            this.url = url;
            return this;
        }

        /** How long a connect may take. */
        public Builder connectTimeout(Duration connectTimeout) {
            this.connectTimeout = connectTimeout;
            return this;
        }

        /** How long the engine may take for an order. */
        public Builder loadTimeout(Duration loadTimeout) {
            this.loadTimeout = loadTimeout;
            return this;
        }

        /** The engine; connects only when something is asked of it. */
        public HttpEngine build() {
            Objects.requireNonNull(upstream, "upstream");
            Objects.requireNonNull(system, "system");
            Objects.requireNonNull(url, "url");
            return new HttpEngine(this);
        }
    }
}
