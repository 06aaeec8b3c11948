package io.damaskyoke.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.PlatformException.Code;
import io.damaskyoke.platform.WatchedStore.WatchListener;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnectionBuilder;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Framing;
import org.apache.pekko.stream.javadsl.FramingTruncation;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * One watch on a connection of its own, which stays open however long nothing changes.
 *
 * <p>The gateway answers with one JSON object a line. The listener is told of the end exactly once,
 * whatever ends it, unless the watch was closed from this side.
 */
final class EtcdWatch implements WatchedStore.Watch {
    private static final int MAX_LINE_BYTES = 16 << 20;
    private static final int OK = 200;
    private static final int HTTPS_PORT = 443;
    private static final int HTTP_PORT = 80;

    private final WatchListener listener;
    private final Runnable onFailure;
    private final AtomicBoolean over = new AtomicBoolean();
    private volatile UniqueKillSwitch connection;

    private EtcdWatch(WatchListener listener, Runnable onFailure) {
        this.listener = listener;
        this.onFailure = onFailure;
    }

    static EtcdWatch open(
            ActorSystem system,
            URI endpoint,
            JsonNode request,
            WatchListener listener,
            Runnable onFailure) {
        EtcdWatch watch = new EtcdWatch(listener, onFailure);
        watch.run(system, endpoint, request);
        return watch;
    }

    @Override
    public void close() {
        over.set(true);
        UniqueKillSwitch open = connection;
        if (open != null) {
            open.shutdown();
        }
    }

    private void run(ActorSystem system, URI endpoint, JsonNode body) {
        HttpRequest request =
                HttpRequest.POST(endpoint.resolve("/v3/watch").toString())
                        .withEntity(ContentTypes.APPLICATION_JSON, EtcdJson.bytes(body));
        Source<ByteString, NotUsed> lines =
                Source.single(request)
                        .concat(Source.maybe())
                        .via(connect(system, endpoint))
                        .flatMapConcat(EtcdWatch::lines);
        var running =
                lines.viaMat(KillSwitches.single(), Keep.right())
                        .toMat(Sink.foreach(this::line), Keep.both())
                        .run(system);
        connection = running.first();
        if (over.get()) {
            connection.shutdown();
        }
        CompletionStage<?> end = running.second();
        end.whenComplete((done, error) -> ended(error));
    }

    private static Flow<HttpRequest, HttpResponse, ?> connect(ActorSystem system, URI endpoint) {
        boolean secure = "https".equals(endpoint.getScheme());
        int port = endpoint.getPort() > 0 ? endpoint.getPort() : secure ? HTTPS_PORT : HTTP_PORT;
        OutgoingConnectionBuilder builder =
                Http.get(system)
                        .connectionTo(endpoint.getHost())
                        .toPort(port)
                        .withClientConnectionSettings(
                                ClientConnectionSettings.create(system)
                                        .withIdleTimeout(scala.concurrent.duration.Duration.Inf()));
        return secure ? builder.https() : builder.http();
    }

    private static Source<ByteString, ?> lines(HttpResponse response) {
        if (response.status().intValue() != OK) {
            return Source.failed(
                    new PlatformException(
                            Code.UNAVAILABLE, "the watch was refused: " + response.status()));
        }
        return response.entity()
                .withoutSizeLimit()
                .getDataBytes()
                .via(
                        Framing.delimiter(
                                ByteString.fromString("\n"),
                                MAX_LINE_BYTES,
                                FramingTruncation.ALLOW))
                .concatLazy(Source.lazySource(EtcdWatch::closedByStore));
    }

    /** Lazy, since a failed source fails a concatenation before its turn has come. */
    private static Source<ByteString, NotUsed> closedByStore() {
        return Source.failed(new PlatformException(Code.UNAVAILABLE, "watch: the store closed it"));
    }

    private void line(ByteString line) {
        if (over.get() || line.isEmpty()) {
            return;
        }
        JsonNode message = EtcdJson.parse(line.toArray());
        if (message.has("error")) {
            throw new PlatformException(Code.UNAVAILABLE, "watch: " + message.get("error"));
        }
        JsonNode result = message.path("result");
        if (result.path("compact_revision").asLong(0) > 0) {
            throw new PlatformException(
                    Code.COMPACTED,
                    "the revision to watch from is no longer kept, the oldest is "
                            + result.path("compact_revision").asLong());
        }
        if (result.path("canceled").asBoolean(false)) {
            throw new PlatformException(
                    Code.UNAVAILABLE,
                    "the store cancelled the watch: " + result.path("cancel_reason").asText());
        }
        List<Change> changes = EtcdJson.changes(result);
        if (!changes.isEmpty()) {
            listener.changed(changes, EtcdJson.revision(result));
        }
    }

    private void ended(Throwable error) {
        if (over.getAndSet(true)) {
            return;
        }
        onFailure.run();
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (cause instanceof PlatformException known) {
            listener.ended(known);
        } else {
            String message = cause == null ? "the store closed it" : cause.toString();
            listener.ended(new PlatformException(Code.UNAVAILABLE, "watch: " + message, cause));
        }
    }
}
