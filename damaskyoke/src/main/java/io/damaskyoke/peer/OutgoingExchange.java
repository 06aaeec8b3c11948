package io.damaskyoke.peer;

import io.damaskyoke.exchange.ExchangeException;
import io.damaskyoke.exchange.ExchangeException.Code;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.wire.Cancel;
import io.damaskyoke.peer.wire.Credit;
import io.damaskyoke.peer.wire.End;
import io.damaskyoke.peer.wire.ExchangeId;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Invoke;
import io.damaskyoke.peer.wire.Started;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.apache.pekko.util.ByteString;

/**
 * The sending side of one exchange: sends the request and receives the answer.
 *
 * <p>A frame is numbered and sent under one lock, so that frames are sent in order. Stages are
 * completed outside the lock, since their dependents run in the completing thread.
 */
final class OutgoingExchange implements Exchange {
    private static final int GRANTS_PER_WINDOW = 4;

    private final ExchangeId id;
    private final PeerLink link;
    private final int windowBytes;
    private final Metrics metrics;
    private final Consumer<OutgoingExchange> onEnd;
    private final AnswerFrameOrder order;
    private final AnswerBody body = new AnswerBody(this::recordConsumed, this::consumerCancelled);
    private final CompletableFuture<ExchangeResult> result = new CompletableFuture<>();
    private final CompletableFuture<ExchangeResult.Ending> ending = new CompletableFuture<>();
    private int sent;
    private boolean invokeSent;
    private boolean done;
    private long remainingCredit;
    private int consumedSinceGrant;

    OutgoingExchange(
            ExchangeId id,
            PeerLink link,
            int windowBytes,
            Metrics metrics,
            Consumer<OutgoingExchange> onEnd) {
        this.id = id;
        this.link = link;
        this.windowBytes = windowBytes;
        this.metrics = metrics;
        this.onEnd = onEnd;
        this.remainingCredit = windowBytes;
        this.order = new AnswerFrameOrder(id);
    }

    ExchangeId id() {
        return id;
    }

    @Override
    public CompletionStage<ExchangeResult> result() {
        return result.minimalCompletionStage();
    }

    void begin(Invoke invoke) {
        boolean accepted;
        synchronized (this) {
            invokeSent = !done && send(frame().setInvoke(invoke));
            accepted = invokeSent;
        }
        if (!accepted) {
            fail(Code.CONNECTION_LOST, "the peer link did not accept the request frame");
        }
    }

    @Override
    public void cancel(Code code, String reason) {
        synchronized (this) {
            if (done) {
                return;
            }
            sendCancel(reason);
        }
        fail(code, reason);
    }

    void received(PeerLink from, Frame frame) {
        if (from != link) {
            drop("crossed");
            return;
        }
        AnswerFrameOrder.Verdict verdict;
        synchronized (this) {
            verdict = done ? AnswerFrameOrder.Verdict.LATE : order.next(frame);
        }
        if (verdict == AnswerFrameOrder.Verdict.TAKE) {
            handle(frame);
            return;
        }
        drop(verdict.name().toLowerCase(Locale.ROOT));
        if (verdict.breaks()) {
            cancel(Code.INCOMPLETE, "frames are missing or wrong: " + verdict);
        }
    }

    void linkClosed(PeerLink closed) {
        if (closed == link) {
            fail(Code.CONNECTION_LOST, "the peer link closed");
        }
    }

    private void handle(Frame frame) {
        switch (frame.getKindCase()) {
            case STARTED -> started(frame.getStarted());
            case CHUNK -> chunk(frame);
            case END -> ended(frame.getEnd());
            default -> refused(frame);
        }
    }

    private void started(Started started) {
        result.complete(
                new ExchangeResult.Served(
                        started.getStatus(),
                        InvokeCodec.fromWire(started.getHeadersList()),
                        body.source(),
                        ending.minimalCompletionStage()));
    }

    private void chunk(Frame frame) {
        ByteString data =
                ByteString.fromByteBuffer(frame.getChunk().getData().asReadOnlyByteBuffer());
        boolean allowed;
        synchronized (this) {
            remainingCredit -= data.size();
            allowed = remainingCredit >= 0;
        }
        if (allowed) {
            body.add(data);
        } else {
            drop("over_credit");
            cancel(Code.INCOMPLETE, "the peer sent more than it was granted");
        }
    }

    private void ended(End end) {
        if (!finish()) {
            return;
        }
        body.end(null);
        ending.complete(
                new ExchangeResult.Ending(end.getTotalBytes(), end.getTokensUsed(), end.getLoad()));
    }

    private void refused(Frame frame) {
        if (!finish()) {
            return;
        }
        result.complete(
                new ExchangeResult.Refused(
                        RefusalCodec.fromWire(frame.getRefused()),
                        RefusalCodec.load(frame.getRefused())));
        failBody(RefusalCodec.toException(frame.getRefused()));
    }

    /** Completes a pending result as lost, and fails a streaming body with the code. */
    private void fail(Code code, String reason) {
        if (!finish()) {
            return;
        }
        result.complete(lostOrNotSent(reason));
        failBody(new ExchangeException(code, reason));
    }

    /** Returns {@code NotSent} if the link never accepted the invocation, else {@code Lost}. */
    private synchronized ExchangeResult lostOrNotSent(String reason) {
        return invokeSent ? new ExchangeResult.Lost(reason) : new ExchangeResult.NotSent(reason);
    }

    private void failBody(ExchangeException why) {
        body.end(why);
        ending.completeExceptionally(why);
    }

    private boolean finish() {
        synchronized (this) {
            if (done) {
                return false;
            }
            done = true;
        }
        onEnd.accept(this);
        return true;
    }

    private void consumerCancelled() {
        cancel(Code.REVOKED, "the consumer cancelled the body");
    }

    private synchronized void recordConsumed(int bytes) {
        consumedSinceGrant += bytes;
        if (done || consumedSinceGrant < Math.max(1, windowBytes / GRANTS_PER_WINDOW)) {
            return;
        }
        remainingCredit += consumedSinceGrant;
        send(frame().setCredit(Credit.newBuilder().setBytes(consumedSinceGrant)));
        consumedSinceGrant = 0;
    }

    private void sendCancel(String reason) {
        send(frame().setCancel(Cancel.newBuilder().setReason(reason)));
    }

    private boolean send(Frame.Builder frame) {
        return link.send(frame.build());
    }

    private Frame.Builder frame() {
        return Frame.newBuilder().setExchange(id).setSequence(sent++);
    }

    private void drop(String reason) {
        metrics.count("exchange_frames_dropped", "reason", reason);
    }
}
