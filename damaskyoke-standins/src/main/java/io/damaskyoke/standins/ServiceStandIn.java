package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/**
 * Stands in for a plain service: it repeats the body, and counts how often each call has run.
 *
 * <p>Calls with one {@code Idempotency-Key} are the same call; without a key, calls with the same
 * body are. The service itself doesn't care and runs each, so a test can see what ran twice. A call
 * is counted before it is answered, and runs to its end when the caller goes away.
 */
public final class ServiceStandIn implements AutoCloseable {
    private static final String EXECUTIONS = "X-Executions";

    private final Duration work;
    private final CallLog log;
    private final TreeMap<String, Integer> executions = new TreeMap<>();
    private final StandInServer server;

    private ServiceStandIn(Duration work, InstantSource clock) {
        this.work = work;
        log = new CallLog(clock);
        server = new StandInServer(this::handle, ServiceStandIn::isWrite, () -> {});
    }

    /** Starts a service whose calls take so long each. */
    public static ServiceStandIn start(int port, Duration work, InstantSource clock) {
        Objects.requireNonNull(clock, "clock");
        if (work.isNegative()) {
            throw new IllegalArgumentException("The work can't take negative time: " + work);
        }
        ServiceStandIn standIn = new ServiceStandIn(work, clock);
        standIn.server.bind(port);
        return standIn;
    }

    public int port() {
        return server.port();
    }

    public String url() {
        return server.url();
    }

    public void setFault(Fault fault) {
        server.setFault(fault);
    }

    public JsonNode calls() {
        return server.calls();
    }

    public CallLog log() {
        return log;
    }

    /** How often a call ran, by its {@code Idempotency-Key}, or by its body if it had none. */
    public synchronized int executions(String keyOrBody) {
        return executions.getOrDefault(keyOrBody, 0);
    }

    /** What {@code GET /counts} gives. */
    public synchronized JsonNode counts() {
        ObjectNode node = Json.object();
        node.set("executions", Json.tree(executions));
        node.put("highest", executions.values().stream().mapToInt(n -> n).max().orElse(0));
        return node;
    }

    @Override
    public void close() {
        server.close();
    }

    private static boolean isWrite(Call call) {
        return !call.method().equals("GET") && !call.method().equals("HEAD");
    }

    private CompletionStage<HttpResponse> handle(Call call) {
        switch (call.path()) {
            case "/log":
                return CompletableFuture.completedFuture(manageLog(call));
            case "/counts":
                return CompletableFuture.completedFuture(Json.answer(counts()));
            default:
                return execute(call);
        }
    }

    private HttpResponse manageLog(Call call) {
        if (call.method().equals("DELETE")) {
            log.clear();
        }
        return Json.answer(log.toJson());
    }

    private CompletionStage<HttpResponse> execute(Call call) {
        CallLog.Mark mark = log.add(call);
        int times = count(call);
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        Runnable end =
                () -> {
                    log.ended(mark);
                    answer.complete(echo(call, times));
                };
        if (work.isZero()) {
            end.run();
        } else {
            server.runtime().after(work, end);
        }
        return answer;
    }

    private synchronized int count(Call call) {
        String body = new String(call.body(), StandardCharsets.UTF_8);
        String key = call.headers().getOrDefault("idempotency-key", body);
        return executions.merge(key, 1, Integer::sum);
    }

    private static HttpResponse echo(Call call, int times) {
        String type = call.headers().getOrDefault("content-type", "text/plain; charset=UTF-8");
        return HttpResponse.create()
                .addHeader(RawHeader.create(EXECUTIONS, Integer.toString(times)))
                .withEntity(ContentTypes.parse(type), call.body());
    }
}
