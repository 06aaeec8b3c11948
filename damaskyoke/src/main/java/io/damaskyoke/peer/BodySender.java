package io.damaskyoke.peer;

import java.util.Optional;
import java.util.function.Predicate;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.SinkQueueWithCancel;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Sends an upstream's body in chunks, only as fast as the receiver grants credit. It holds at most
 * one stream element, and pulls the next only after that one has been sent.
 */
final class BodySender {
    static final int MAX_CHUNK_BYTES = 16 * 1024;

    /** Called once when the body has ended. */
    @FunctionalInterface
    interface EndListener {
        /** Receives the total of bytes sent, and why the body failed; null if it is complete. */
        void ended(long total, Throwable why);
    }

    private final Predicate<ByteString> sendChunk;
    private final EndListener onEnd;
    private SinkQueueWithCancel<ByteString> queue;
    private Materializer materializer;
    private ByteString remainder = ByteString.emptyByteString();
    private long credit;
    private long total;
    private boolean pulling;
    private boolean stopped;

    BodySender(Predicate<ByteString> sendChunk, EndListener onEnd) {
        this.sendChunk = sendChunk;
        this.onEnd = onEnd;
    }

    void run(Source<ByteString, NotUsed> body, Materializer givenMaterializer) {
        synchronized (this) {
            materializer = givenMaterializer;
            queue = body.runWith(Sink.queue(1), givenMaterializer);
        }
        advance();
    }

    void grant(long bytes) {
        synchronized (this) {
            credit += bytes;
        }
        advance();
    }

    void cancel() {
        synchronized (this) {
            stopped = true;
            if (queue != null) {
                queue.cancel();
            }
        }
    }

    /** Sends what the credit allows, then pulls more; one thread at a time, in order. */
    private void advance() {
        if (sendAllowed()) {
            onEnd.ended(
                    total,
                    new IllegalStateException("the peer link did not accept a chunk of the body"));
        }
    }

    /** Returns true if the link did not accept a chunk, which ends this body. */
    private synchronized boolean sendAllowed() {
        if (queue == null || stopped) {
            return false;
        }
        while (!remainder.isEmpty() && credit > 0) {
            if (!sendOne()) {
                cancel();
                return true;
            }
        }
        if (remainder.isEmpty() && !pulling) {
            pulling = true;
            queue.pull().whenCompleteAsync(this::pulled, materializer.executionContext());
        }
        return false;
    }

    private boolean sendOne() {
        int size = (int) Math.min(Math.min(credit, remainder.size()), MAX_CHUNK_BYTES);
        ByteString next = remainder.take(size);
        remainder = remainder.drop(size);
        credit -= size;
        total += size;
        return sendChunk.test(next);
    }

    private void pulled(Optional<ByteString> element, Throwable failure) {
        if (failure == null && element.isPresent()) {
            take(element.get());
            advance();
        } else if (stop()) {
            onEnd.ended(total, failure);
        }
    }

    private synchronized void take(ByteString element) {
        pulling = false;
        remainder = element;
    }

    private synchronized boolean stop() {
        boolean first = !stopped;
        stopped = true;
        return first;
    }
}
