package io.damaskyoke.peer;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.IntConsumer;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * The bytes of an answer between the link, which brings them, and the consumer, who takes them.
 * What it holds is bounded by the credit that was granted; thread-safe.
 */
final class AnswerBody {
    private final Queue<ByteString> chunks = new ArrayDeque<>();
    private final IntConsumer taken;
    private final Runnable cancelled;
    private Runnable wake = () -> {};
    private boolean ended;
    private Throwable failure;
    private boolean running;

    /**
     * An empty body.
     *
     * @param taken told how many bytes the consumer has just taken
     * @param cancelled told when the consumer wants no more
     */
    AnswerBody(IntConsumer taken, Runnable cancelled) {
        this.taken = taken;
        this.cancelled = cancelled;
    }

    /** The consumer's side; can be run once. */
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

    /** No more comes: the body is whole if {@code why} is null, else it fails after the rest. */
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

    /** Begins the one run; false if there was one. */
    synchronized boolean begin(Runnable wakeUp) {
        if (running) {
            return false;
        }
        running = true;
        wake = wakeUp;
        return true;
    }

    /** The next chunk; null if there is none now. */
    ByteString poll() {
        ByteString next;
        synchronized (this) {
            next = chunks.poll();
        }
        if (next != null) {
            taken.accept(next.size());
        }
        return next;
    }

    /** True if nothing is left and nothing more comes. */
    synchronized boolean finished() {
        return ended && chunks.isEmpty();
    }

    /** Why a finished body is not whole; null if it is. */
    synchronized Throwable failure() {
        return failure;
    }

    void cancel() {
        synchronized (this) {
            ended = true;
            chunks.clear();
        }
        cancelled.run();
    }
}
