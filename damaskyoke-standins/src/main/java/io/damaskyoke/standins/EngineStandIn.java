package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.damaskyoke.standins.EngineModels.LoadOrder;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.Query;
import org.apache.pekko.http.javadsl.model.Uri;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Stands in for a model engine: the OpenAI API, orders to load and unload, and late load reports.
 *
 * <p>An answer repeats the last user message, a word for a token. A load goes on when the one who
 * ordered it goes away; a generation doesn't. Fencing numbers are kept for each model apart.
 */
public final class EngineStandIn implements AutoCloseable {
    private static final int EXTRA_CHUNKS = 4;

    private final EngineSettings settings;
    private final InstantSource clock;
    private final EngineModels models;
    private final Batch batch;
    private final CallLog log;
    private final Lagging<ObjectNode> report;
    private final AtomicLong completions = new AtomicLong();
    private final StandInServer server;

    private EngineStandIn(EngineSettings settings, InstantSource clock) {
        this.settings = settings;
        this.clock = clock;
        models = new EngineModels(settings, clock);
        batch = new Batch(settings.maxBatch());
        log = new CallLog(clock);
        report = new Lagging<>(freshReport(), settings.reportLag(), clock);
        server = new StandInServer(this::handle, EngineStandIn::isWrite, () -> {});
    }

    public static EngineStandIn start(int port, EngineSettings settings, InstantSource clock) {
        Objects.requireNonNull(settings, "settings");
        Objects.requireNonNull(clock, "clock");
        EngineStandIn standIn = new EngineStandIn(settings, clock);
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

    /** What {@code GET /counts} gives. */
    public JsonNode counts() {
        return models.counts();
    }

    @Override
    public void close() {
        server.close();
    }

    private static boolean isWrite(Call call) {
        return call.path().startsWith("/orders/") || call.path().startsWith("/v1/c");
    }

    private CompletionStage<HttpResponse> handle(Call call) {
        switch (call.method() + " " + call.path()) {
            case "GET /log":
                return answer(log.toJson());
            case "DELETE /log":
                log.clear();
                return answer(log.toJson());
            case "GET /counts":
                return answer(counts());
            default:
                return handleLogged(call, log.add(call));
        }
    }

    private CompletionStage<HttpResponse> handleLogged(Call call, CallLog.Mark mark) {
        switch (call.method() + " " + call.path()) {
            case "POST /v1/chat/completions":
                return complete(call, true, mark);
            case "POST /v1/completions":
                return complete(call, false, mark);
            case "GET /v1/models":
                return ended(mark, answer(models.list()));
            case "GET /load":
                return ended(mark, answer(report.value()));
            case "POST /orders/load":
                return ended(mark, load(call.json()));
            case "POST /orders/unload":
                return ended(mark, unload(call.json()));
            case "POST /orders/role":
                models.setRole(call.json());
                changed();
                return ended(mark, answer(Json.object()));
            default:
                throw call.notFound();
        }
    }

    private static CompletionStage<HttpResponse> answer(JsonNode node) {
        return CompletableFuture.completedFuture(Json.answer(node));
    }

    private CompletionStage<HttpResponse> ended(
            CallLog.Mark mark, CompletionStage<HttpResponse> answer) {
        return answer.whenComplete((ok, error) -> log.ended(mark));
    }

    private CompletionStage<HttpResponse> load(JsonNode json) {
        LoadOrder order = LoadOrder.fromJson(json);
        models.checkFencing(order.model(), json);
        if (models.begin(order)) {
            changed();
            fetch(order).whenComplete((ok, error) -> loadEnded(order.model(), error));
        }
        ObjectNode done = Json.object().put("model", order.model());
        return models.loaded(order.model()).thenApply(ok -> Json.answer(done));
    }

    // The order is answered last: a caller that reads the load report next finds the outcome in it.
    private void loadEnded(String model, Throwable error) {
        if (error == null) {
            CompletableFuture<Void> loaded = models.end(model);
            changed();
            loaded.complete(null);
            return;
        }
        CompletableFuture<Void> loaded = models.fail(model);
        changed();
        String reason = "The weights didn't come: " + error.getMessage();
        loaded.completeExceptionally(StandInException.openAi(502, "load_failed", reason));
    }

    private CompletionStage<Void> fetch(LoadOrder order) {
        boolean cached = models.isOnDisk(order.model());
        if (settings.weights() != null && !cached) {
            return fetchFromStore(order);
        }
        Duration time = settings.loadTime();
        if (cached) {
            time = settings.diskLoadTime();
        } else if (order.isAdapter()) {
            time = settings.adapterLoadTime();
        }
        CompletableFuture<Void> loaded = new CompletableFuture<>();
        if (time.isZero()) {
            loaded.complete(null);
        } else {
            server.runtime().after(time, () -> loaded.complete(null));
        }
        return loaded;
    }

    private CompletionStage<Void> fetchFromStore(LoadOrder order) {
        Uri uri =
                Uri.create(settings.weights().toString())
                        .addPathSegment("weights")
                        .addPathSegment(order.model())
                        .query(
                                Query.create(
                                        Pair.create("vm", settings.vm()),
                                        Pair.create("kind", order.kind())));
        return Http.get(server.runtime().system())
                .singleRequest(HttpRequest.create().withUri(uri))
                .thenAccept(this::checkWeights);
    }

    private void checkWeights(HttpResponse response) {
        response.discardEntityBytes(server.runtime().system());
        if (response.status().isFailure()) {
            throw StandInException.badRequest("the store answered " + response.status().intValue());
        }
    }

    private CompletionStage<HttpResponse> unload(JsonNode json) {
        String model = Json.text(json, "model");
        models.checkFencing(model, json);
        models.unload(model);
        changed();
        return answer(Json.object().put("model", model));
    }

    private CompletionStage<HttpResponse> complete(Call call, boolean chat, CallLog.Mark mark) {
        long number = completions.incrementAndGet();
        long created = clock.instant().getEpochSecond();
        Completion completion = Completion.parse(chat, number, created, call.json());
        if (!models.isLoaded(completion.model())) {
            throw StandInException.openAi(
                    404, "model_not_found", "The model is not loaded: " + completion.model());
        }
        return completion.stream() ? stream(call, completion, mark) : whole(call, completion, mark);
    }

    private CompletionStage<HttpResponse> whole(
            Call call, Completion completion, CallLog.Mark mark) {
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        generate(
                call,
                completion,
                token -> {},
                () -> {
                    log.ended(mark);
                    answer.complete(Json.answer(completion.whole()));
                },
                () -> answer.cancel(false));
        return answer;
    }

    private CompletionStage<HttpResponse> stream(
            Call call, Completion completion, CallLog.Mark mark) {
        Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> ends =
                Source.<ByteString>queue(completion.tokens().size() + EXTRA_CHUNKS)
                        .preMaterialize(server.runtime().system());
        BoundedSourceQueue<ByteString> queue = ends.first();
        generate(
                call,
                completion,
                token -> queue.offer(event(completion.chunk(token).toString())),
                () -> {
                    queue.offer(event(completion.lastChunk().toString()));
                    queue.offer(event("[DONE]"));
                    log.ended(mark);
                    queue.complete();
                },
                queue::complete);
        return CompletableFuture.completedFuture(
                HttpResponse.create()
                        .withEntity(
                                HttpEntities.createChunked(
                                        MediaTypes.TEXT_EVENT_STREAM.toContentType(),
                                        ends.second())));
    }

    private static ByteString event(String data) {
        return ByteString.fromString("data: " + data + "\n\n");
    }

    private void generate(
            Call call,
            Completion completion,
            Consumer<String> onToken,
            Runnable onEnd,
            Runnable onCancel) {
        Job job = new Job(call.connection(), onCancel);
        job.generation =
                new Generation(
                        completion.tokens(),
                        settings.tokenTime(),
                        server.runtime(),
                        onToken,
                        () -> job.end(onEnd));
        call.connection().onClose(job.cancel);
        batch.add(job.generation);
        changed();
    }

    /** A generation on its connection: it ends by itself, or is cancelled when the caller goes. */
    private final class Job {
        private final Connection connection;
        private final Runnable onCancel;
        private final Runnable cancel = this::cancel;
        private final AtomicBoolean done = new AtomicBoolean();
        private Generation generation;

        Job(Connection connection, Runnable onCancel) {
            this.connection = connection;
            this.onCancel = onCancel;
        }

        private void end(Runnable onEnd) {
            if (!done.compareAndSet(false, true)) {
                return;
            }
            connection.forget(cancel);
            batch.remove(generation);
            changed();
            onEnd.run();
        }

        private void cancel() {
            if (!done.compareAndSet(false, true)) {
                return;
            }
            generation.cancel();
            batch.remove(generation);
            changed();
            onCancel.run();
        }
    }

    private synchronized void changed() {
        report.set(freshReport());
    }

    private ObjectNode freshReport() {
        ObjectNode node = models.report();
        node.put("running", batch.running());
        node.put("waiting", batch.waiting());
        return node;
    }
}
