package io.damaskyoke.operator;

import io.damaskyoke.control.configuration.TicketException;
import io.damaskyoke.control.configuration.TicketParser;
import io.damaskyoke.operator.OperatorException.Code;
import io.damaskyoke.timeline.Timeline;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpMethod;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;

/**
 * Where operators and the balancer come in, on a port and with a token of their own.
 *
 * <pre>{@code
 * OperatorServer.builder(system)
 *         .address("127.0.0.1", 9090).token(settings.token())
 *         .tickets(Tickets.of(parser, configuration))
 *         .status(router::status).timeline(timeline).metrics(exporter::print)
 *         .ready(router::reasonNotReady)
 *         .start();
 * }</pre>
 *
 * <p>Health needs no token, all else does. Whatever a process does not give, as agents give no
 * tickets, is a 404.
 */
public final class OperatorServer {
    private static final Logger LOG = LogManager.getLogger(OperatorServer.class);
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);
    private static final String ROOT = "/operator/v1/";
    private static final String TICKETS = ROOT + "tickets";
    private static final String PROCESSES = ROOT + "processes";
    private static final String BEARER = "Bearer ";
    private static final int UNAVAILABLE = 503;

    private final ActorSystem system;
    private final byte[] token;
    private final Optional<Tickets> tickets;
    private final Optional<Supplier<?>> status;
    private final Optional<Timeline> timeline;
    private final Optional<Supplier<String>> metrics;
    private final Optional<Supplier<CompletionStage<List<ProcessEntry>>>> processes;
    private final Supplier<Optional<String>> reasonNotReady;
    private volatile ServerBinding binding;

    private OperatorServer(Builder builder) {
        system = builder.system;
        token = builder.token.getBytes(StandardCharsets.UTF_8);
        tickets = Optional.ofNullable(builder.tickets);
        status = Optional.ofNullable(builder.status);
        timeline = Optional.ofNullable(builder.timeline);
        metrics = Optional.ofNullable(builder.metrics);
        processes = Optional.ofNullable(builder.processes);
        reasonNotReady = builder.ready;
    }

    /** Begins a server on this actor system. */
    public static Builder builder(ClassicActorSystemProvider system) {
        return new Builder(system);
    }

    /** The port it listens on, also if the kernel was asked to choose one. */
    public int port() {
        return binding.localAddress().getPort();
    }

    /** The address it listens on. */
    public InetSocketAddress address() {
        return binding.localAddress();
    }

    /** Takes no new connections, and cuts those that are still open after the grace time. */
    public CompletionStage<Void> stop(Duration grace) {
        return binding.terminate(grace).thenApply(done -> null);
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request) {
        CompletionStage<HttpResponse> answer;
        try {
            answer = route(request);
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        return answer.exceptionally(OperatorServer::failure)
                .thenApply(
                        response -> {
                            request.discardEntityBytes(system);
                            return response;
                        });
    }

    private CompletionStage<HttpResponse> route(HttpRequest request) {
        String path = request.getUri().path();
        if (path.equals("/health/live")) {
            return get(request, () -> OperatorAnswers.text(200, "live\n"));
        }
        if (path.equals("/health/ready")) {
            return get(request, this::ready);
        }
        checkToken(request);
        if (path.equals(TICKETS)) {
            return submit(request, given(tickets));
        }
        if (path.startsWith(TICKETS + "/")) {
            return find(request, path.substring(TICKETS.length() + 1), given(tickets));
        }
        if (path.equals(PROCESSES)) {
            checkMethod(request, HttpMethods.GET);
            return given(processes).get().thenApply(OperatorAnswers::json);
        }
        return switch (path) {
            case ROOT + "status" -> get(request, () -> OperatorAnswers.json(given(status).get()));
            case ROOT + "timeline" -> get(request, () -> events(request));
            case ROOT + "metrics" ->
                    get(request, () -> OperatorAnswers.text(200, given(metrics).get()));
            default -> throw new OperatorException(Code.NOT_FOUND, "no such path: " + path);
        };
    }

    private HttpResponse ready() {
        return reasonNotReady
                .get()
                .map(reason -> OperatorAnswers.text(UNAVAILABLE, reason + "\n"))
                .orElseGet(() -> OperatorAnswers.text(200, "ready\n"));
    }

    private HttpResponse events(HttpRequest request) {
        EventFilter filter = EventFilter.of(Map.copyOf(request.getUri().query().toMap()));
        return OperatorAnswers.lines(given(timeline).events().stream().filter(filter));
    }

    private CompletionStage<HttpResponse> submit(HttpRequest request, Tickets taker) {
        checkMethod(request, HttpMethods.POST);
        if (!"application/json".equals(request.entity().getContentType().mediaType().toString())) {
            throw new OperatorException(
                    Code.UNSUPPORTED_MEDIA_TYPE, "a ticket comes as application/json");
        }
        return request.entity()
                .withSizeLimit(TicketParser.MAX_BYTES)
                .toStrict(BODY_TIMEOUT.toMillis(), system)
                .thenCompose(body -> taker.submit(body.getData().toArray()))
                .thenApply(OperatorAnswers::ticket);
    }

    private CompletionStage<HttpResponse> find(HttpRequest request, String text, Tickets taker) {
        checkMethod(request, HttpMethods.GET);
        long number = number(text);
        return taker.find(number)
                .thenApply(
                        found ->
                                found.map(OperatorAnswers::ticket)
                                        .orElseThrow(
                                                () ->
                                                        new OperatorException(
                                                                Code.NOT_FOUND,
                                                                "no accepted ticket "
                                                                        + number
                                                                        + " is known here")));
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new OperatorException(
                    Code.BAD_REQUEST, "a ticket's number is a whole number: " + text, e);
        }
    }

    private static CompletionStage<HttpResponse> get(
            HttpRequest request, Supplier<HttpResponse> answer) {
        checkMethod(request, HttpMethods.GET);
        return CompletableFuture.completedFuture(answer.get());
    }

    private static void checkMethod(HttpRequest request, HttpMethod method) {
        if (!request.method().equals(method)) {
            throw new OperatorException(
                    Code.METHOD_NOT_ALLOWED, "this path takes " + method.name());
        }
    }

    /** Compares in constant time: else the time of a refusal tells how many bytes were right. */
    private void checkToken(HttpRequest request) {
        byte[] given =
                request.getHeader("Authorization")
                        .map(header -> header.value())
                        .filter(value -> value.startsWith(BEARER))
                        .map(value -> value.substring(BEARER.length()))
                        .orElse("")
                        .getBytes(StandardCharsets.UTF_8);
        if (!MessageDigest.isEqual(token, given)) {
            throw new OperatorException(
                    Code.UNAUTHORIZED, "the operators' token is missing or wrong");
        }
    }

    private static <T> T given(Optional<T> part) {
        return part.orElseThrow(
                () -> new OperatorException(Code.NOT_FOUND, "this process does not offer that"));
    }

    private static HttpResponse failure(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (cause instanceof TicketException e) {
            return OperatorAnswers.ticketError(e.code(), e.getMessage(), true);
        }
        if (cause instanceof OperatorException e) {
            return OperatorAnswers.error(e.status(), e.code(), e.getMessage(), true);
        }
        if (cause instanceof EntityStreamSizeException) {
            String most = "a ticket has at most " + TicketParser.MAX_BYTES + " bytes";
            return failure(new OperatorException(Code.BODY_TOO_LARGE, most, cause));
        }
        if (cause instanceof TimeoutException) {
            return failure(
                    new OperatorException(Code.REQUEST_TIMEOUT, "the body took too long", cause));
        }
        LOG.error("an operator's request failed", cause);
        return OperatorAnswers.error(500, Code.INTERNAL, "internal error", false);
    }

    /** Puts an {@link OperatorServer} together. */
    public static final class Builder {
        private final ActorSystem system;
        private String host = "127.0.0.1";
        private int port;
        private String token = "";
        private Tickets tickets;
        private Supplier<?> status;
        private Timeline timeline;
        private Supplier<String> metrics;
        private Supplier<CompletionStage<List<ProcessEntry>>> processes;
        private Supplier<Optional<String>> ready = Optional::empty;

        private Builder(ClassicActorSystemProvider system) {
            this.system = system.classicSystem();
        }

        /** Where to listen; port 0 has the kernel choose. */
        public Builder address(String onHost, int onPort) {
            host = Objects.requireNonNull(onHost, "host");
            port = onPort;
            return this;
        }

        /** The operators' bearer token; needed. */
        public Builder token(String value) {
            token = Objects.requireNonNull(value, "token");
            return this;
        }

        /** Who takes tickets; left out on agents. */
        public Builder tickets(Tickets value) {
            tickets = value;
            return this;
        }

        /** What {@code status} prints: anything that Jackson writes, a map or a tree. */
        public Builder status(Supplier<?> value) {
            status = value;
            return this;
        }

        /** The time line that {@code timeline} prints. */
        public Builder timeline(Timeline value) {
            timeline = value;
            return this;
        }

        /** What {@code metrics} prints. */
        public Builder metrics(Supplier<String> value) {
            metrics = value;
            return this;
        }

        /** Who else belongs to the deployment; left out on agents. */
        public Builder processes(Supplier<CompletionStage<List<ProcessEntry>>> value) {
            processes = value;
            return this;
        }

        /** Why the process is not ready now, or empty if it is. */
        public Builder ready(Supplier<Optional<String>> value) {
            ready = Objects.requireNonNull(value, "ready");
            return this;
        }

        /** The listening server, or an {@link OperatorException} if the port is taken. */
        public CompletionStage<OperatorServer> start() {
            if (token.isBlank()) {
                throw new IllegalArgumentException("the operators' token must not be empty");
            }
            OperatorServer server = new OperatorServer(this);
            return Http.get(system)
                    .newServerAt(host, port)
                    .bind(server::handle)
                    .handle(
                            (binding, error) -> {
                                if (error != null) {
                                    throw new OperatorException(
                                            Code.CANNOT_LISTEN,
                                            "can't listen on " + host + ":" + port,
                                            error);
                                }
                                server.binding = binding;
                                return server;
                            });
        }
    }
}
