package io.damaskyoke.exchange;

import java.util.Optional;
import java.util.function.Consumer;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** Records a copy of an answer's body while the body is streamed. */
public final class AnswerRecorder {
    private final int maxBytes;
    private final Consumer<Optional<byte[]>> onComplete;
    private ByteString recorded = ByteString.emptyByteString();
    private boolean tooLarge;

    private AnswerRecorder(int maxBytes, Consumer<Optional<byte[]>> onComplete) {
        this.maxBytes = maxBytes;
        this.onComplete = onComplete;
    }

    /**
     * Returns the same body, to be run once, with its chunks recorded.
     *
     * @param onComplete called when the whole body has been streamed, with a copy if it has at most
     *     {@code maxBytes} bytes; never called for a body that was cut or cancelled
     */
    public static Source<ByteString, NotUsed> tap(
            Source<ByteString, NotUsed> body, int maxBytes, Consumer<Optional<byte[]>> onComplete) {
        AnswerRecorder recorder = new AnswerRecorder(maxBytes, onComplete);
        return body.map(recorder::recordChunk).concatLazy(Source.lazySource(recorder::end));
    }

    private ByteString recordChunk(ByteString chunk) {
        tooLarge |= recorded.size() + chunk.size() > maxBytes;
        recorded = tooLarge ? ByteString.emptyByteString() : recorded.concat(chunk);
        return chunk;
    }

    // Runs only when the body has completed. The stream's termination signal can't be used: it
    // reports a consumer that stops half-way as success, and half an answer would be recorded.
    private Source<ByteString, NotUsed> end() {
        onComplete.accept(tooLarge ? Optional.empty() : Optional.of(recorded.toArray()));
        return Source.empty();
    }
}
