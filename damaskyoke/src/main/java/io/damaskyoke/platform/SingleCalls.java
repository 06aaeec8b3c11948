package io.damaskyoke.platform;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.Done;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.OutgoingConnectionBuilder;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.BufferOverflowException;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Calls to one server, each on a connection of its own, a few at once; the others wait in order.
 *
 * <p>Answers name no call. On a shared connection a second answer to one call would be taken for
 * the answer to the next: a lease that was never granted, or a write that never took effect.
 */
final class SingleCalls {
    private static final int MAX_WAITING = 1024;
    private static final int HTTP_PORT = 80;
    private static final int HTTPS_PORT = 443;

    private final ActorSystem system;
    private final URI server;
    private final ClientConnectionSettings settings;
    private final long maxAnswerBytes;
    private final BoundedSourceQueue<Call> waiting;

    /** An answer with its complete body. */
    record Reply(int status, byte[] body) {}

    private record Call(HttpRequest request, CompletableFuture<Reply> reply) {}

    SingleCalls(
            ActorSystem system,
            URI server,
            int connections,
            Duration connectTimeout,
            long maxAnswerBytes) {
        this.system = system;
        this.server = server;
        this.settings =
                ClientConnectionSettings.create(system)
                        .withConnectingTimeout(connectTimeout)
                        .withIdleTimeout(scala.concurrent.duration.Duration.Inf());
        this.maxAnswerBytes = maxAnswerBytes;
        this.waiting =
                Source.<Call>queue(MAX_WAITING)
                        .mapAsyncUnordered(connections, this::run)
                        .to(Sink.ignore())
                        .run(system);
    }

    /**
     * Sends the request once. Fails with {@link java.util.concurrent.TimeoutException} after the
     * time limit, and with the cause otherwise; the connection is closed in any case.
     */
    CompletableFuture<Reply> send(HttpRequest request, Duration limit) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        reply.orTimeout(limit.toNanos(), TimeUnit.NANOSECONDS);
        QueueOfferResult offered =
                waiting.offer(new Call(request.addHeader(Connection.create("close")), reply));
        if (!offered.equals(QueueOfferResult.enqueued())) {
            reply.completeExceptionally(new BufferOverflowException("too many calls wait"));
        }
        return reply;
    }

    /** The stage never fails. */
    private CompletionStage<Done> run(Call call) {
        CompletableFuture<Reply> reply = call.reply();
        if (reply.isDone()) {
            return CompletableFuture.completedFuture(Done.getInstance());
        }
        SharedKillSwitch connection = KillSwitches.shared("call");
        Source.single(call.request())
                .via(connect(connection))
                .mapAsync(1, this::strict)
                .runWith(Sink.head(), system)
                .whenComplete(
                        (complete, failure) -> {
                            if (failure == null) {
                                reply.complete(complete);
                            } else {
                                reply.completeExceptionally(failure);
                            }
                        });
        return reply.handle(
                (complete, failure) -> {
                    connection.shutdown();
                    return Done.getInstance();
                });
    }

    private CompletionStage<Reply> strict(HttpResponse response) {
        return response.entity()
                .withSizeLimit(maxAnswerBytes)
                .getDataBytes()
                .runFold(ByteString.emptyByteString(), ByteString::concat, system)
                .thenApply(body -> new Reply(response.status().intValue(), body.toArray()));
    }

    private Flow<HttpRequest, HttpResponse, ?> connect(SharedKillSwitch connection) {
        boolean secure = "https".equals(server.getScheme());
        int port = server.getPort() > 0 ? server.getPort() : secure ? HTTPS_PORT : HTTP_PORT;
        OutgoingConnectionBuilder builder =
                Http.get(system)
                        .connectionTo(server.getHost())
                        .toPort(port)
                        .withClientConnectionSettings(
                                settings.withTransport(new Closable(connection)));
        return secure ? builder.https() : builder.http();
    }

    /** TCP with a switch at the socket, as the layer above waits for an answer before it closes. */
    private static final class Closable extends ClientTransport {
        private final SharedKillSwitch connection;

        private Closable(SharedKillSwitch connection) {
            this.connection = connection;
        }

        @Override
        public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(
                String host, int port, ClientConnectionSettings settings, ActorSystem system) {
            return Flow.of(ByteString.class)
                    .via(connection.flow())
                    .viaMat(
                            ClientTransport.TCP().connectTo(host, port, settings, system),
                            Keep.right())
                    .via(connection.flow());
        }
    }
}
