package io.damaskyoke.upstream;

import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.ExchangeException;
import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.upstream.UpstreamException.Code;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.http.scaladsl.model.HttpEntity;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.CompletionTimeoutException;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * An upstream reached by HTTP: a plain service, or the serving side of a model engine.
 *
 * <p>{@code HttpUpstream.builder().system(system).url(url).clock(clock).metrics(metrics).build()}.
 * A request is sent once and never again by this class, on a connection of its own. The body of
 * each answer has to be run or cancelled, since it holds the connection.
 */
public final class HttpUpstream implements Upstream {
    private final SingleConnection connection;
    private final InstantSource clock;
    private final Metrics metrics;
    private final Semaphore slots;

    private HttpUpstream(Builder builder) {
        connection = new SingleConnection(builder.system, builder.url, builder.connectTimeout);
        clock = builder.clock;
        metrics = builder.metrics;
        slots = new Semaphore(builder.maxRunning);
    }

    /** Starts a builder; the system, the URL, the clock and the metrics have to be given. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Sends the request. The future fails with {@link Code#NOT_SENT} if no connection stood, or all
     * connections are taken, and with {@link Code#MAY_HAVE_RUN} otherwise, also when the request's
     * deadline passes before the answer begins. Cancelling the future closes the connection.
     */
    @Override
    public CompletableFuture<Answer.Served> send(Request request) {
        HttpRequest http;
        try {
            http = HttpRequests.of(request);
        } catch (UpstreamException e) {
            return CompletableFuture.failedFuture(e);
        }
        if (!slots.tryAcquire()) {
            metrics.count("upstream_busy");
            return CompletableFuture.failedFuture(
                    new UpstreamException(Code.NOT_SENT, "all connections are taken"));
        }
        return sendInSlot(http, request);
    }

    private CompletableFuture<Answer.Served> sendInSlot(HttpRequest http, Request request) {
        Runnable release = once(slots::release);
        CompletableFuture<HttpResponse> head = connection.send(http, timeLeft(request));
        CompletableFuture<Answer.Served> answer = new CompletableFuture<>();
        head.whenComplete(
                (response, failure) -> {
                    if (failure != null) {
                        release.run();
                        count(failure);
                        answer.completeExceptionally(failure);
                    } else if (!answer.complete(served(response, request, release))) {
                        release.run();
                        connection.close(response);
                    }
                });
        answer.whenComplete(
                (ignored, failure) -> {
                    if (answer.isCancelled()) {
                        head.cancel(false);
                    }
                });
        return answer;
    }

    private Answer.Served served(HttpResponse response, Request request, Runnable release) {
        metrics.count("upstream_answers");
        Source<ByteString, NotUsed> body =
                whole(response.entity())
                        .completionTimeout(atLeastOneMilli(timeLeft(request)))
                        .mapError(
                                new PFBuilder<Throwable, Throwable>()
                                        .matchAny(this::broken)
                                        .build())
                        .watchTermination(
                                (ignored, done) -> {
                                    done.whenComplete((ok, failure) -> release.run());
                                    return NotUsed.getInstance();
                                });
        return new Answer.Served(response.status().intValue(), headers(response), body);
    }

    /**
     * An answer with neither length nor chunks ends where the connection ends, and a process that
     * dies closes its connections too. Nobody can tell the half answer from the whole one, so it is
     * never called whole.
     */
    private static Source<ByteString, Object> whole(ResponseEntity entity) {
        Source<ByteString, Object> bytes = entity.getDataBytes();
        if (!(entity instanceof HttpEntity.CloseDelimited)) {
            return bytes;
        }
        return bytes.concat(
                Source.failed(
                        new ExchangeException(
                                ExchangeException.Code.UPSTREAM_CUT,
                                "the answer has neither Content-Length nor chunks")));
    }

    private Throwable broken(Throwable failure) {
        metrics.count("upstream_answers_cut");
        if (failure instanceof ExchangeException) {
            return failure;
        }
        if (failure instanceof CompletionTimeoutException) {
            return new ExchangeException(
                    ExchangeException.Code.DEADLINE_EXCEEDED,
                    "the deadline passed in the middle of the answer",
                    failure);
        }
        return new ExchangeException(
                ExchangeException.Code.UPSTREAM_CUT, "the upstream broke off", failure);
    }

    private static List<Header> headers(HttpResponse response) {
        List<Header> headers = new ArrayList<>();
        if (!response.entity().getContentType().equals(ContentTypes.NO_CONTENT_TYPE)) {
            headers.add(new Header("Content-Type", response.entity().getContentType().toString()));
        }
        for (HttpHeader header : response.getHeaders()) {
            headers.add(new Header(header.name(), header.value()));
        }
        return PassedHeaders.toCaller(headers);
    }

    private void count(Throwable failure) {
        boolean notRun = failure instanceof UpstreamException e && e.notRun();
        metrics.count("upstream_failures", "not_run", Boolean.toString(notRun));
    }

    private Duration timeLeft(Request request) {
        return Duration.between(clock.instant(), request.deadline());
    }

    private static Duration atLeastOneMilli(Duration duration) {
        return duration.toMillis() < 1 ? Duration.ofMillis(1) : duration;
    }

    private static Runnable once(Runnable step) {
        AtomicBoolean done = new AtomicBoolean();
        return () -> {
            if (done.compareAndSet(false, true)) {
                step.run();
            }
        };
    }

    /** Collects what an upstream needs. */
    public static final class Builder {
        private static final int DEFAULT_MAX_RUNNING = 64;

        private ActorSystem system;
        private URI url;
        private Duration connectTimeout = Duration.ofSeconds(1);
        private int maxRunning = DEFAULT_MAX_RUNNING;
        private InstantSource clock;
        private Metrics metrics;

        private Builder() {}

        /** The actor system that the streams run on. */
        public Builder system(ActorSystem system) {
            this.system = system;
            return this;
        }

        /** Where the upstream listens; only scheme, host and port count. */
        public Builder url(URI url) {
            this.url = url;
            return this;
        }

        /** How long a connect may take. */
        public Builder connectTimeout(Duration connectTimeout) {
            this.connectTimeout = connectTimeout;
            return this;
        }

        /** How many requests may run at once, which is also the number of connections. */
        public Builder maxRunning(int maxRunning) {
            if (maxRunning < 1) {
                throw new IllegalArgumentException("maxRunning must be at least 1: " + maxRunning);
            }
            this.maxRunning = maxRunning;
            return this;
        }

        /** The clock of the requests' deadlines. */
        public Builder clock(InstantSource clock) {
            this.clock = clock;
            return this;
        }

        /** Where answers and failures are counted. */
        public Builder metrics(Metrics metrics) {
            this.metrics = metrics;
            return this;
        }

        /** The upstream; connects only when the first request comes. */
        public HttpUpstream build() {
            Objects.requireNonNull(system, "system");
            Objects.requireNonNull(url, "url");
            Objects.requireNonNull(clock, "clock");
            Objects.requireNonNull(metrics, "metrics");
            return new HttpUpstream(this);
        }
    }
}
