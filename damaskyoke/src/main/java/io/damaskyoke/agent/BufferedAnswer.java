package io.damaskyoke.agent;

import io.damaskyoke.exchange.Answer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Holds an answer whose body was read into memory before it is forwarded, so that the outcome is
 * known even if the router disconnects while the answer is being sent.
 *
 * @param answer the answer, with a body that yields the bytes already read and then the rest
 * @param body the whole body, or empty if it is too large to keep
 */
record BufferedAnswer(Answer.Served answer, Optional<byte[]> body) {
    /**
     * Reads up to {@code maxBytes} of the body; fails if the upstream breaks the connection before
     * that.
     *
     * @param maxBytes size of the largest body that is kept, in bytes
     */
    static CompletionStage<BufferedAnswer> of(
            Answer.Served answer, int maxBytes, Materializer materializer) {
        return answer.body()
                .groupedWeighted(maxBytes + 1L, chunk -> (long) chunk.size())
                .prefixAndTail(1)
                .runWith(Sink.head(), materializer)
                .thenApply(
                        parts -> {
                            ByteString first = concatenate(parts.first());
                            Source<ByteString, NotUsed> rest =
                                    parts.second().mapConcat(chunks -> chunks);
                            return new BufferedAnswer(
                                    new Answer.Served(
                                            answer.status(),
                                            answer.headers(),
                                            Source.single(first).concat(rest)),
                                    first.size() <= maxBytes
                                            ? Optional.of(first.toArray())
                                            : Optional.empty());
                        });
    }

    private static ByteString concatenate(List<List<ByteString>> groups) {
        ByteString all = ByteString.emptyByteString();
        for (List<ByteString> group : groups) {
            for (ByteString chunk : group) {
                all = all.concat(chunk);
            }
        }
        return all;
    }
}
