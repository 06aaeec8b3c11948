package io.damaskyoke.caller;

import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.CancelSignal;
import io.damaskyoke.exchange.ExchangeException;
import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.metrics.Metrics;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import scala.PartialFunction;

/**
 * Sends an answer so that a cut one can't be taken for a whole one.
 *
 * <p>Up to {@link #GATHER_BYTES} the body is gathered before the status goes out, so a cut becomes
 * an honest refusal. A larger body, and any server-sent stream, goes out as it comes; if it breaks
 * off, a stream ends with an error event, and in each case the last chunk never comes.
 */
final class AnswerSender {
    static final int GATHER_BYTES = 1024 * 1024;

    private static final String EVENT_STREAM = "text/event-stream";

    private final ConnectionState state;
    private final Metrics metrics;
    private final Materializer materializer;

    AnswerSender(ConnectionState state, Metrics metrics, Materializer materializer) {
        this.state = state;
        this.metrics = metrics;
        this.materializer = materializer;
    }

    /** Sends a response of our own. */
    CompletionStage<HttpResponse> send(CancelSignal gone, HttpResponse response) {
        return CompletableFuture.completedFuture(now(gone, response));
    }

    /** The same, for a response that is whole. */
    HttpResponse now(CancelSignal gone, HttpResponse response) {
        state.answering(gone);
        state.end(gone);
        return response;
    }

    /** Sends what an upstream answered. */
    CompletionStage<HttpResponse> send(
            CancelSignal gone, Answer.Served served, boolean idempotent) {
        AnswerBody body = AnswerBody.run(served.body(), materializer);
        gone.onCancel(body::cancel);
        if (eventStream(served.headers())) {
            return CompletableFuture.completedFuture(
                    stream(gone, served, withErrorEvent(body, idempotent)));
        }
        return body.gather(GATHER_BYTES)
                .handle(
                        (beginning, failure) -> {
                            if (failure != null) {
                                throw cut(failure, idempotent);
                            }
                            return gathered(gone, served, body, beginning);
                        });
    }

    private HttpResponse gathered(
            CancelSignal gone,
            Answer.Served served,
            AnswerBody body,
            AnswerBody.Beginning beginning) {
        return beginning.whole()
                ? now(
                        gone,
                        AnswerWriter.whole(served.status(), served.headers(), beginning.bytes()))
                : stream(gone, served, body.from(beginning.bytes()));
    }

    private HttpResponse stream(
            CancelSignal gone, Answer.Served served, Source<ByteString, NotUsed> body) {
        state.answering(gone);
        Source<ByteString, NotUsed> watched =
                body.mapError(counted())
                        .watchTermination(
                                (unused, done) -> {
                                    done.whenComplete((ok, failure) -> state.end(gone));
                                    return unused;
                                });
        return AnswerWriter.streamed(served.status(), served.headers(), watched);
    }

    private PartialFunction<Throwable, Throwable> counted() {
        return new PFBuilder<Throwable, Throwable>()
                .matchAny(
                        failure -> {
                            metrics.count("caller_answers_cut");
                            return failure;
                        })
                .build();
    }

    private static Source<ByteString, NotUsed> withErrorEvent(AnswerBody body, boolean idempotent) {
        return body.from(ByteString.emptyByteString())
                .recoverWithRetries(
                        1,
                        new PFBuilder<Throwable, Source<ByteString, NotUsed>>()
                                .matchAny(failure -> errorEvent(failure, idempotent))
                                .build());
    }

    private static Source<ByteString, NotUsed> errorEvent(Throwable failure, boolean idempotent) {
        CallerException cut = cut(failure, idempotent);
        return Source.single(AnswerWriter.errorEvent(cut.refusal()))
                .concatLazy(Source.lazySource(() -> Source.<ByteString>failed(cut)));
    }

    /** What to say of an answer that broke off: the upstream had begun, so it is never not-run. */
    private static CallerException cut(Throwable failure, boolean idempotent) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ExchangeException broken
                && broken.codeName().equals(ExchangeException.Code.DEADLINE_EXCEEDED.name())) {
            return refused(RefusalCode.DEADLINE_EXCEEDED, "the deadline passed", cause);
        }
        return idempotent
                ? refused(RefusalCode.UPSTREAM_FAILED, "the answer broke off", cause)
                : refused(
                        RefusalCode.OUTCOME_UNKNOWN,
                        "the answer broke off; the request may have run",
                        cause);
    }

    private static CallerException refused(RefusalCode code, String message, Throwable cause) {
        return new CallerException(Refusal.mayHaveRun(code, message), cause);
    }

    private static boolean eventStream(List<Header> headers) {
        return headers.stream()
                .filter(h -> h.named("Content-Type"))
                .anyMatch(h -> h.value().toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM));
    }
}
