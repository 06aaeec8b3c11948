package io.damaskyoke.upstream;

import io.damaskyoke.upstream.UpstreamException.Code;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.http.javadsl.ClientTransport;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.OutgoingConnectionBuilder;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.io.TcpSO;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Sends each request over a connection of its own, once.
 *
 * <p>A pool hands a request to a connection that the upstream may have closed a moment ago. The
 * failure then looks the same as that of an upstream that took the request and died, and a payment
 * would be reported as <em>outcome unknown</em> though nobody saw it, or worse, be sent again. With
 * a connection per request the question has an answer: bytes are written only after the connection
 * stands, so a failed connect, and nothing else, means that the upstream did not begin.
 */
final class SingleConnection {
    private static final int HTTP_PORT = 80;
    private static final int HTTPS_PORT = 443;

    private final ActorSystem system;
    private final OutgoingConnectionBuilder builder;
    private final boolean https;
    private final ClientConnectionSettings settings;

    SingleConnection(ActorSystem system, URI url, Duration connectTimeout) {
        this.system = system;
        this.https = "https".equals(url.getScheme());
        this.builder = builder(system, url);
        this.settings = settings(system, connectTimeout);
    }

    /**
     * Gives the beginning of the answer, or fails with an {@link UpstreamException}. Cancelling the
     * future closes the connection, as the timeout does.
     */
    CompletableFuture<HttpResponse> send(HttpRequest request, Duration timeout) {
        SharedKillSwitch kill = KillSwitches.shared("upstream-connection");
        Pair<CompletionStage<OutgoingConnection>, CompletionStage<HttpResponse>> running =
                Source.single(request)
                        .viaMat(connection(kill), Keep.right())
                        .toMat(Sink.head(), Keep.both())
                        .run(system);
        CompletionStage<OutgoingConnection> connected = running.first();
        CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
        Cancellable timer = abortAfter(timeout, kill);
        running.second()
                .whenComplete(
                        (response, failure) -> {
                            timer.cancel();
                            if (failure == null) {
                                deliver(response, answer);
                            } else {
                                explain(failure, connected, answer);
                            }
                        });
        answer.whenComplete(
                (response, failure) -> {
                    if (answer.isCancelled()) {
                        kill.abort(new TimeoutException("given up"));
                    }
                });
        return answer;
    }

    private void deliver(HttpResponse response, CompletableFuture<HttpResponse> answer) {
        if (!answer.complete(response)) {
            close(response);
        }
    }

    /** Closes the connection of an answer that nobody reads. */
    void close(HttpResponse response) {
        response.entity().getDataBytes().runWith(Sink.cancelled(), system);
    }

    private static void explain(
            Throwable failure,
            CompletionStage<OutgoingConnection> connected,
            CompletableFuture<HttpResponse> answer) {
        connected.whenComplete(
                (ignored, connectFailure) -> {
                    Code code = connectFailure == null ? Code.MAY_HAVE_RUN : Code.NOT_SENT;
                    Throwable cause = connectFailure == null ? failure : connectFailure;
                    String message =
                            code == Code.NOT_SENT
                                    ? "can't connect to the upstream: "
                                    : "the upstream gave no answer: ";
                    answer.completeExceptionally(
                            new UpstreamException(code, message + cause.getMessage(), cause));
                });
    }

    private Cancellable abortAfter(Duration timeout, SharedKillSwitch kill) {
        Duration delay = timeout.isNegative() ? Duration.ZERO : timeout;
        return system.scheduler()
                .scheduleOnce(
                        delay,
                        () -> kill.abort(new TimeoutException("no answer within " + delay)),
                        system.dispatcher());
    }

    private Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> connection(
            SharedKillSwitch kill) {
        OutgoingConnectionBuilder own =
                builder.withClientConnectionSettings(
                        settings.withTransport(new AbortableTransport(kill)));
        return https ? own.https() : own.http();
    }

    private static OutgoingConnectionBuilder builder(ActorSystem system, URI url) {
        boolean https = "https".equals(url.getScheme());
        if (!https && !"http".equals(url.getScheme()) || url.getHost() == null) {
            throw new IllegalArgumentException("url must be http://HOST:PORT, not " + url);
        }
        int defaultPort = https ? HTTPS_PORT : HTTP_PORT;
        return Http.get(system)
                .connectionTo(url.getHost())
                .toPort(url.getPort() < 0 ? defaultPort : url.getPort());
    }

    /** A model may think for minutes before its first token: the deadline ends it, not idleness. */
    private static ClientConnectionSettings settings(ActorSystem system, Duration connectTimeout) {
        return ClientConnectionSettings.create(system)
                .withSocketOptions(List.of(TcpSO.tcpNoDelay(true)))
                .withConnectingTimeout(connectTimeout)
                .withIdleTimeout(scala.concurrent.duration.Duration.Inf());
    }

    /**
     * TCP with a switch right at the socket. Pekko HTTP's client ignores a cancelled response until
     * the response comes; an engine would go on generating for a caller who has long gone.
     */
    private static final class AbortableTransport extends ClientTransport {
        private final SharedKillSwitch kill;

        private AbortableTransport(SharedKillSwitch kill) {
            this.kill = kill;
        }

        @Override
        public Flow<ByteString, ByteString, CompletionStage<OutgoingConnection>> connectTo(
                String host, int port, ClientConnectionSettings settings, ActorSystem system) {
            return Flow.of(ByteString.class)
                    .via(kill.flow())
                    .viaMat(
                            ClientTransport.TCP().connectTo(host, port, settings, system),
                            Keep.right())
                    .via(kill.flow());
        }
    }
}
