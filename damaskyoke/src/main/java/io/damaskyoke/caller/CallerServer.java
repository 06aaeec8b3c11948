package io.damaskyoke.caller;

import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.KeyHasher;
import io.damaskyoke.exchange.Dispatcher;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.settings.RouterSettings;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.event.NoLogging;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.io.Inet;
import org.apache.pekko.io.TcpSO;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.TLSProtocol.SessionBytes;
import org.apache.pekko.stream.TLSProtocol.SslTlsInbound;
import org.apache.pekko.stream.TLSProtocol.SslTlsOutbound;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;

/**
 * Where callers come in: the OpenAI HTTP API and plain services.
 *
 * <pre>{@code
 * CallerServer.builder()
 *         .settings(settings.caller()).dispatcher(router).configuration(current::get)
 *         .hasher(hasher).clock(clock).metrics(metrics).exchangeIds(ids).accepting(() -> true)
 *         .start(system)
 *         .thenAccept(server -> log.info("callers on port {}", server.port()));
 * }</pre>
 *
 * <p>The HTTP layer of Pekko runs on connections of our own, because its timeouts can't tell a slow
 * head from a long wait for an answer; see {@link ConnectionGuard}. Pekko's line of log for each
 * broken answer is off; {@code caller_answers_cut} counts them.
 */
public final class CallerServer {
    private static final int BACKLOG = 512;

    // Without it each token of a stream waits for the caller's delayed acknowledgement, which shows
    // as 40 ms more between tokens.
    private static final List<Inet.SocketOption> SOCKET_OPTIONS = List.of(TcpSO.tcpNoDelay(true));

    private static final Duration FIRST_PROBE = Duration.ofSeconds(1);

    private final Parts parts;
    private final ActorSystem system;
    private final Materializer materializer;
    private final ServerSettings http;
    private final Set<ConnectionState> connections = ConcurrentHashMap.newKeySet();
    private final SharedKillSwitch abort = KillSwitches.shared("caller-abort");
    private final CompletableFuture<Done> drained = new CompletableFuture<>();
    private Tcp.ServerBinding binding;
    private volatile boolean draining;

    private CallerServer(Parts parts, ActorSystem system) {
        this.parts = parts;
        this.system = system;
        this.materializer = SystemMaterializer.get(system).materializer();
        this.http = HttpLimits.of(parts.settings(), system);
    }

    /** Begins to build a server. */
    public static Builder builder() {
        return new Builder();
    }

    /** The port that is bound, also where the settings left it to the kernel. */
    public int port() {
        return binding.localAddress().getPort();
    }

    /** Takes no new connections; those that are open go on. */
    public CompletionStage<Done> unbind() {
        return binding.unbind().thenApply(unused -> Done.getInstance());
    }

    /**
     * Ends the server: takes no new connections, answers what is open, closes each connection when
     * nothing is open on it any more, and resets what is left after {@code limit}.
     */
    public CompletionStage<Done> terminate(Duration limit) {
        return unbind().thenCompose(unbound -> drain(limit));
    }

    private CompletionStage<Done> drain(Duration limit) {
        draining = true;
        connections.forEach(ConnectionState::drain);
        completeIfDrained();
        return drained.copy()
                .completeOnTimeout(Done.getInstance(), limit.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(this::abortTheRest);
    }

    private Done abortTheRest(Done done) {
        abort.abort(
                new CallerException(
                        Refusal.mayHaveRun(RefusalCode.STOPPING, "cut by a stop"), null));
        return done;
    }

    private CompletionStage<CallerServer> bind() {
        return Tcp.get(system)
                .bind(
                        parts.settings().host(),
                        parts.settings().port(),
                        BACKLOG,
                        SOCKET_OPTIONS,
                        false,
                        Optional.empty())
                .mapAsyncUnordered(parts.settings().maxConnections(), this::serve)
                .to(Sink.ignore())
                .run(materializer)
                .thenApply(this::bound);
    }

    private CallerServer bound(Tcp.ServerBinding bound) {
        binding = bound;
        return this;
    }

    /** Serves one connection; the stage completes when it is over, however it ends. */
    private CompletionStage<Done> serve(Tcp.IncomingConnection connection) {
        ConnectionState state = new ConnectionState();
        connections.add(state);
        if (draining) {
            state.drain();
        }
        BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, NotUsed> layer =
                Http.get(system)
                        .serverLayer(http, Optional.empty(), NoLogging.getInstance())
                        .atop(placebo())
                        .atop(
                                BidiFlow.fromGraph(
                                        new ConnectionGuard(
                                                state,
                                                parts.settings().headerTimeout(),
                                                FIRST_PROBE)));
        CallerHandler handler = new CallerHandler(parts, state, materializer);
        connection.handleWith(
                Flow.fromGraph(abort.<ByteString>flow())
                        .via(Flow.<HttpRequest>create().mapAsync(1, handler::handle).join(layer)),
                materializer);
        return state.over().thenApply(over -> ended(state));
    }

    private static BidiFlow<SslTlsOutbound, ByteString, ByteString, SslTlsInbound, NotUsed>
            placebo() {
        return BidiFlow.fromFlows(
                        Flow.<SslTlsOutbound>create(),
                        Flow.<SessionBytes>create().map(bytes -> (SslTlsInbound) bytes))
                .atop(TLSPlacebo.getInstance());
    }

    private Done ended(ConnectionState state) {
        connections.remove(state);
        completeIfDrained();
        return Done.getInstance();
    }

    private void completeIfDrained() {
        if (draining && connections.isEmpty()) {
            drained.complete(Done.getInstance());
        }
    }

    /** What the parts of the server share. */
    record Parts(
            RouterSettings.Caller settings,
            Dispatcher dispatcher,
            Supplier<Configuration> configuration,
            KeyHasher hasher,
            InstantSource clock,
            Metrics metrics,
            Supplier<ExchangeId> exchangeIds,
            BooleanSupplier accepting) {
        Parts {
            Objects.requireNonNull(settings, "settings");
            Objects.requireNonNull(dispatcher, "dispatcher");
            Objects.requireNonNull(configuration, "configuration");
            Objects.requireNonNull(hasher, "hasher");
            Objects.requireNonNull(clock, "clock");
            Objects.requireNonNull(metrics, "metrics");
            Objects.requireNonNull(exchangeIds, "exchangeIds");
            Objects.requireNonNull(accepting, "accepting");
        }
    }

    /** Collects what a server needs; all but {@code accepting} must be given. */
    public static final class Builder {
        private RouterSettings.Caller settings;
        private Dispatcher dispatcher;
        private Supplier<Configuration> configuration;
        private KeyHasher hasher;
        private InstantSource clock;
        private Metrics metrics;
        private Supplier<ExchangeId> exchangeIds;
        private BooleanSupplier accepting = () -> true;

        private Builder() {}

        /** Where to listen, and the limits. */
        public Builder settings(RouterSettings.Caller value) {
            settings = value;
            return this;
        }

        /** Who serves the requests. */
        public Builder dispatcher(Dispatcher value) {
            dispatcher = value;
            return this;
        }

        /** The configuration in force now; asked twice or more for each request. */
        public Builder configuration(Supplier<Configuration> value) {
            configuration = value;
            return this;
        }

        /** The hasher that the keys of the configuration were hashed with. */
        public Builder hasher(KeyHasher value) {
            hasher = value;
            return this;
        }

        /** The monotonic clock that deadlines are on. */
        public Builder clock(InstantSource value) {
            clock = value;
            return this;
        }

        /** Where to count. */
        public Builder metrics(Metrics value) {
            metrics = value;
            return this;
        }

        /** Gives each request its id. */
        public Builder exchangeIds(Supplier<ExchangeId> value) {
            exchangeIds = value;
            return this;
        }

        /** False once this process stops: requests are then refused, and connections closed. */
        public Builder accepting(BooleanSupplier value) {
            accepting = value;
            return this;
        }

        /** Binds the port; fails if that can't be done. */
        public CompletionStage<CallerServer> start(ActorSystem system) {
            Parts parts =
                    new Parts(
                            settings,
                            dispatcher,
                            configuration,
                            hasher,
                            clock,
                            metrics,
                            exchangeIds,
                            accepting);
            return new CallerServer(parts, system).bind();
        }
    }
}
