package io.damaskyoke.http;

import io.damaskyoke.metrics.Metrics;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A client whose requests bear ids of their own in {@code Try}: {@code client.ask(server)}. */
final class AskingClient implements AutoCloseable {
    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final HttpLoop loop = HttpLoop.start();
    private final Metrics metrics = new Metrics();
    private final HttpClient client = new HttpClient(loop, Duration.ofMillis(500), metrics);
    private int askCount;

    /** Returns the response as its status and body, or the name of the exchange's failure. */
    String ask(RawServer server) {
        return ask(server, HttpMethod.GET);
    }

    String ask(RawServer server, HttpMethod method) {
        return ask(server.endpoint(), method, 0);
    }

    /** The same for a request with a body of that many bytes. */
    String ask(Endpoint server, HttpMethod method, int bodyBytes) {
        String id = String.valueOf(++askCount);
        CompletableFuture<String> outcome = new CompletableFuture<>();
        loop.events().execute(() -> send(server, method, id, bodyBytes, outcome));
        return outcome.completeOnTimeout("no outcome", LIMIT.toSeconds(), TimeUnit.SECONDS).join();
    }

    /** Returns how many responses belonged to no request, for that reason. */
    long unmatched(UnmatchedAnswer reason) {
        String label = "{reason=\"" + reason.name().toLowerCase() + "\"}";
        return metrics.counter("http_unmatched_reasons" + label).getCount();
    }

    @Override
    public void close() {
        loop.close();
    }

    private void send(
            Endpoint to,
            HttpMethod method,
            String id,
            int bodyBytes,
            CompletableFuture<String> outcome) {
        ClientRequest request =
                new ClientRequest(
                        method,
                        "/",
                        new DefaultHttpHeaders().set("Try", id),
                        Unpooled.wrappedBuffer(new byte[bodyBytes]),
                        ResponseMatch.byId(id, headers -> headers.getAll("Try")),
                        LIMIT);
        client.send(to, request, new Recorder(outcome));
    }

    private static final class Recorder implements ResponseListener {
        private final CompletableFuture<String> outcome;
        private final StringBuilder text = new StringBuilder();

        Recorder(CompletableFuture<String> outcome) {
            this.outcome = outcome;
        }

        @Override
        public void head(int status, HttpHeaders headers) {
            text.append(status).append(' ');
        }

        @Override
        public void part(ByteBuf data) {
            text.append(data.toString(StandardCharsets.US_ASCII));
            data.release();
        }

        @Override
        public void end() {
            outcome.complete(text.toString());
        }

        @Override
        public void failed(ExchangeFailure failure) {
            outcome.complete(failure.name());
        }
    }
}
