package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.TLSProtocol;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;

/**
 * The HTTP server below each stand-in: it carries out the faults and counts the calls.
 *
 * <p>It joins Pekko's HTTP layer to the TCP connection itself, since the ready-made binding has no
 * way to break a connection without an answer.
 */
final class StandInServer implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";

    private static final int MAX_PATHS = 1000;
    private static final int MAX_PORT = 65_535;
    private static final long READ_TIMEOUT_MILLIS = 60_000;
    private static final long BIND_TIMEOUT_SECONDS = 10;

    private final Function<Call, CompletionStage<HttpResponse>> handler;
    private final Predicate<Call> writes;
    private final Runnable onFault;
    private final StandInRuntime runtime = StandInRuntime.acquire();
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> paths = new TreeMap<>();
    private long readCount;
    private long writeCount;
    private Fault fault = Fault.NONE;
    private Tcp.ServerBinding binding;
    private boolean closed;

    StandInServer(
            Function<Call, CompletionStage<HttpResponse>> handler,
            Predicate<Call> writes,
            Runnable onFault) {
        this.handler = handler;
        this.writes = writes;
        this.onFault = onFault;
    }

    /** Listens on the loopback address; port 0 lets the kernel choose. */
    void bind(int port) {
        if (port < 0 || port > MAX_PORT) {
            close();
            throw new IllegalArgumentException("The port must be from 0 to 65535: " + port);
        }
        try {
            binding =
                    Tcp.get(runtime.system())
                            .bind(LOOPBACK, port)
                            .to(Sink.foreach(this::accept))
                            .run(runtime.system())
                            .toCompletableFuture()
                            .orTimeout(BIND_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                            .join();
        } catch (CompletionException e) {
            close();
            throw new IllegalStateException("Can't listen on port " + port, e);
        }
    }

    int port() {
        return binding.localAddress().getPort();
    }

    String url() {
        return "http://" + LOOPBACK + ":" + port();
    }

    StandInRuntime runtime() {
        return runtime;
    }

    synchronized Fault fault() {
        return fault;
    }

    void setFault(Fault next) {
        synchronized (this) {
            fault = Objects.requireNonNull(next, "fault");
        }
        if (next.mode() == Fault.Mode.DOWN) {
            connections.stream().filter(Connection::watching).forEach(Connection::abort);
        }
        onFault.run();
    }

    /** How often each path was served, with the sums of reads, writes and open watches. */
    synchronized ObjectNode calls() {
        ObjectNode node = Json.object();
        node.put("reads", readCount);
        node.put("writes", writeCount);
        node.put("watches_open", connections.stream().filter(Connection::watching).count());
        node.set("paths", Json.tree(paths));
        return node;
    }

    @Override
    public void close() {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        if (binding != null) {
            binding.unbind();
        }
        connections.forEach(Connection::abort);
        StandInRuntime.release();
    }

    private void accept(Tcp.IncomingConnection incoming) {
        Connection connection = new Connection();
        connections.add(connection);
        connection.onClose(() -> connections.remove(connection));
        BidiFlow<HttpResponse, ByteString, ByteString, HttpRequest, ?> http =
                Http.get(runtime.system()).serverLayer().atop(plainText());
        http.join(connection.guard(incoming.flow()))
                .join(Flow.of(HttpRequest.class).mapAsync(1, r -> receive(r, connection)))
                .run(runtime.system());
    }

    // The layer takes any inbound TLS message and the placebo gives session bytes, which are one.
    @SuppressWarnings("unchecked")
    private static BidiFlow<
                    TLSProtocol.SslTlsOutbound,
                    ByteString,
                    ByteString,
                    TLSProtocol.SslTlsInbound,
                    NotUsed>
            plainText() {
        BidiFlow<?, ?, ?, ?, ?> placebo = TLSPlacebo.getInstance();
        return (BidiFlow<
                        TLSProtocol.SslTlsOutbound,
                        ByteString,
                        ByteString,
                        TLSProtocol.SslTlsInbound,
                        NotUsed>)
                placebo;
    }

    private CompletionStage<HttpResponse> receive(HttpRequest request, Connection connection) {
        return request.entity()
                .toStrict(READ_TIMEOUT_MILLIS, runtime.system())
                .thenCompose(entity -> serve(call(request, entity, connection)))
                .exceptionally(StandInServer::failed);
    }

    private static Call call(HttpRequest request, HttpEntity.Strict entity, Connection connection) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (HttpHeader header : request.getHeaders()) {
            // Pekko adds some of its own that never were on the wire, such as Timeout-Access.
            if (header.renderInRequests()) {
                headers.merge(header.lowercaseName(), header.value(), (a, b) -> a + ", " + b);
            }
        }
        byte[] body = entity.getData().toArray();
        if (!entity.getContentType().equals(ContentTypes.NO_CONTENT_TYPE)) {
            headers.put("content-type", entity.getContentType().toString());
        }
        return new Call(
                request.method().name().toUpperCase(Locale.ROOT),
                request.getUri().path(),
                request.getUri().query().toMap(),
                headers,
                body,
                connection);
    }

    private CompletionStage<HttpResponse> serve(Call call) {
        if (call.path().equals("/fault") || call.is("GET", "/calls")) {
            return answered(this::manage, call);
        }
        boolean write = writes.test(call);
        Fault current = take(write);
        switch (current.mode()) {
            case DOWN:
                return answered(StandInServer::refuse, call);
            case HANG:
                return silence(call);
            case CUT_BEFORE_RUN:
                return cut(call);
            case LOSE_ANSWERS:
            case RUN_THEN_CUT:
                return run(call, write).thenCompose(answer -> cut(call));
            default:
                return run(call, write).thenCompose(answer -> late(answer, current.delay()));
        }
    }

    private CompletionStage<HttpResponse> manage(Call call) {
        if (call.is("GET", "/calls")) {
            return CompletableFuture.completedFuture(Json.answer(calls()));
        }
        if (call.method().equals("POST")) {
            setFault(Fault.fromJson(call.json()));
        }
        return CompletableFuture.completedFuture(Json.answer(fault().toJson()));
    }

    /** The fault that hits this call, counted down; the mode is UP for a call that is spared. */
    private synchronized Fault take(boolean write) {
        Fault current = fault;
        if (current.mode() == Fault.Mode.LOSE_ANSWERS && !write) {
            return Fault.NONE;
        }
        if (current.count() > 0) {
            fault = current.count() == 1 ? Fault.NONE : current.times(current.count() - 1);
        }
        return current;
    }

    private static CompletionStage<HttpResponse> refuse(Call call) {
        throw StandInException.grpc(503, 14, "the stand-in is told to be down");
    }

    private static CompletionStage<HttpResponse> silence(Call call) {
        CompletableFuture<HttpResponse> never = new CompletableFuture<>();
        call.connection().onClose(() -> never.complete(HttpResponse.create()));
        return never;
    }

    private static CompletionStage<HttpResponse> cut(Call call) {
        call.connection().abort();
        return new CompletableFuture<>();
    }

    private CompletionStage<HttpResponse> late(HttpResponse answer, Duration delay) {
        if (delay.isZero()) {
            return CompletableFuture.completedFuture(answer);
        }
        CompletableFuture<HttpResponse> later = new CompletableFuture<>();
        runtime.after(delay, () -> later.complete(answer));
        return later;
    }

    private CompletionStage<HttpResponse> run(Call call, boolean write) {
        count(call.path(), write);
        return answered(handler, call);
    }

    private synchronized void count(String path, boolean write) {
        boolean known = paths.containsKey(path) || paths.size() < MAX_PATHS;
        paths.merge(known ? path : "other", 1L, Long::sum);
        if (write) {
            writeCount++;
        } else {
            readCount++;
        }
    }

    private static CompletionStage<HttpResponse> answered(
            Function<Call, CompletionStage<HttpResponse>> step, Call call) {
        try {
            return step.apply(call).exceptionally(StandInServer::failed);
        } catch (RuntimeException e) {
            return CompletableFuture.completedFuture(failed(e));
        }
    }

    private static HttpResponse failed(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (cause instanceof StandInException refusal) {
            return Json.answer(refusal.status(), refusal.body());
        }
        JsonNode body = StandInException.grpc(500, 13, String.valueOf(cause)).body();
        return Json.answer(500, body);
    }
}
