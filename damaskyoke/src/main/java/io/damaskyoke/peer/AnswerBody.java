package io.damaskyoke.peer;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.IntConsumer;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Buffers the body of an answer between the link that receives it and the stream that consumes it.
 * The buffer is bounded by the credit granted to the sender. Thread-safe.
 */
final class AnswerBody {
    private final Queue<ByteString> chunks = new ArrayDeque<>();
    private final IntConsumer onTaken;
    private final Runnable onCancelled;
    private Runnable wake = () -> {};
    private boolean ended;
    private Throwable failure;
    private boolean running;

    /**
     * Creates an empty body.
     *
     * @param onTaken receives the number of bytes that the consumer has just taken
     * @param onCancelled runs when the consumer cancels the body
     */
    AnswerBody(IntConsumer onTaken, Runnable onCancelled) {
        this.onTaken = onTaken;
        this.onCancelled = onCancelled;
    }

    /** Returns the stream of the body's bytes, which can be run only once. */
    Source<ByteString, NotUsed> source() {
        return Source.fromGraph(new AnswerSource(this));
    }

    void add(ByteString chunk) {
        Runnable call;
        synchronized (this) {
            if (!ended) {
                chunks.add(chunk);
            }
            call = wake;
        }
        call.run();
    }

    /** Ends the body: complete if {@code why} is null, else failed after the buffered chunks. */
    void end(Throwable why) {
        Runnable call;
        synchronized (this) {
            if (!ended) {
                ended = true;
                failure = why;
            }
            call = wake;
        }
        call.run();
    }

    /** Starts the only run of the stream; returns false if it was started before. */
    synchronized boolean begin(Runnable onProgress) {
        if (running) {
            return false;
        }
        running = true;
        wake = onProgress;
        return true;
    }

    /** Returns the next chunk, or null if none is buffered. */
    ByteString poll() {
        ByteString next;
        synchronized (this) {
            next = chunks.poll();
        }
        if (next != null) {
            onTaken.accept(next.size());
        }
        return next;
    }

    /** Returns true if the body has ended and every chunk was taken. */
    synchronized boolean finished() {
        return ended && chunks.isEmpty();
    }

    /** Returns why a finished body is incomplete, or null if it is complete. */
    synchronized Throwable failure() {
        return failure;
    }

    void cancel() {
        synchronized (this) {
            ended = true;
            chunks.clear();
        }
        onCancelled.run();
    }
}
