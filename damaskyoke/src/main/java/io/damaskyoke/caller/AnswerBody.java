package io.damaskyoke.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.SinkQueueWithCancel;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * The running body of an answer: its beginning can be gathered before anything is said to the
 * caller, and the rest is pulled only as fast as the caller reads.
 */
final class AnswerBody {
    private final SinkQueueWithCancel<ByteString> queue;

    private AnswerBody(SinkQueueWithCancel<ByteString> queue) {
        this.queue = queue;
    }

    /** Begins to pull the source; from now on {@link #cancel} reaches it at any moment. */
    static AnswerBody run(Source<ByteString, NotUsed> source, Materializer materializer) {
        return new AnswerBody(
                source.runWith(
                        Sink.<ByteString>queue().withAttributes(Attributes.inputBuffer(1, 1)),
                        materializer));
    }

    /** What was gathered, and whether that is all. */
    record Beginning(ByteString bytes, boolean whole) {}

    /** Gathers up to more than {@code limit} bytes, or all; fails if the answer is cut before. */
    CompletionStage<Beginning> gather(int limit) {
        return gather(ByteString.emptyByteString(), limit);
    }

    /** The beginning and all that follows it. */
    Source<ByteString, NotUsed> from(ByteString beginning) {
        Source<ByteString, NotUsed> rest =
                Source.unfoldResourceAsync(
                        () -> CompletableFuture.completedFuture(queue),
                        SinkQueueWithCancel::pull,
                        open -> {
                            cancel();
                            return CompletableFuture.completedFuture(Done.getInstance());
                        });
        return beginning.isEmpty() ? rest : Source.single(beginning).concatLazy(rest);
    }

    /** Stops the source, wherever it is. */
    void cancel() {
        queue.cancel();
    }

    private CompletionStage<Beginning> gather(ByteString sofar, int limit) {
        if (sofar.size() > limit) {
            return CompletableFuture.completedFuture(new Beginning(sofar, false));
        }
        return queue.pull().thenCompose(next -> add(sofar, next, limit));
    }

    private CompletionStage<Beginning> add(ByteString sofar, Optional<ByteString> next, int limit) {
        return next.isPresent()
                ? gather(sofar.concat(next.get()), limit)
                : CompletableFuture.completedFuture(new Beginning(sofar, true));
    }
}
