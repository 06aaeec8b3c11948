package io.damaskyoke.caller;

import io.damaskyoke.exchange.RefusalCode;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.util.ByteString;

/**
 * Reads the body of a request up to the limit.
 *
 * <p>A body beyond the limit is read on for a while without being kept: a caller that is cut off
 * while it still sends gets a reset connection, and never sees the refusal.
 */
final class BodyReader {
    private static final int READ_ON_FACTOR = 4;

    private final int limit;
    private final Duration idle;
    private final Materializer materializer;

    BodyReader(int limit, Duration idle, Materializer materializer) {
        this.limit = limit;
        this.idle = idle;
        this.materializer = materializer;
    }

    /** The whole body; fails with a {@link CallerException} if it is too large, slow or cut. */
    CompletionStage<ByteString> read(HttpRequest request, Duration longest) {
        return request.entity()
                .withoutSizeLimit()
                .getDataBytes()
                .idleTimeout(idle)
                .completionTimeout(longest)
                .scan(
                        new Kept(ByteString.emptyByteString(), 0),
                        (kept, next) -> kept.add(next, limit))
                .takeWhile(kept -> kept.seen() <= (long) READ_ON_FACTOR * limit, true)
                .runWith(Sink.last(), materializer)
                .handle(this::checked);
    }

    /** Reads a body that nobody wants, so that the caller can read its answer. */
    void discard(HttpRequest request) {
        if (!request.entity().isStrict()) {
            read(request, idle);
        }
    }

    private record Kept(ByteString bytes, long seen) {
        Kept add(ByteString next, int limit) {
            long all = seen + next.size();
            return all > limit
                    ? new Kept(ByteString.emptyByteString(), all)
                    : new Kept(bytes.concat(next), all);
        }
    }

    private ByteString checked(Kept kept, Throwable failure) {
        if (failure != null) {
            throw refused(failure);
        }
        if (kept.seen() > limit) {
            throw CallerException.of(
                    RefusalCode.BODY_TOO_LARGE, "the body must not exceed " + limit + " bytes");
        }
        return kept.bytes();
    }

    private static CallerException refused(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof TimeoutException
                ? CallerException.of(RefusalCode.REQUEST_TIMEOUT, "the body took too long to come")
                : CallerException.of(RefusalCode.MALFORMED_REQUEST, "the body was cut short");
    }
}
