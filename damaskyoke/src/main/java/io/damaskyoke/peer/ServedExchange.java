package io.damaskyoke.peer;

import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.wire.Chunk;
import io.damaskyoke.peer.wire.End;
import io.damaskyoke.peer.wire.ExchangeId;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Load;
import io.damaskyoke.peer.wire.Refused;
import io.damaskyoke.peer.wire.Started;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.util.ByteString;

/** The receiving side of one exchange; numbers and sends its frames under one lock, in order. */
final class ServedExchange implements IncomingExchange {
    private final ExchangeId id;
    private final Frame invoke;
    private final Request request;
    private final PeerLink link;
    private final Materializer materializer;
    private final Metrics metrics;
    private final Consumer<ServedExchange> onEnd;
    private final FrameSequence incoming = new FrameSequence();
    private final List<Runnable> onCancel = new ArrayList<>();
    private BodySender body;
    private long credit;
    private int sent;
    private boolean done;
    private boolean cancelled;
    private Refused wholeRefusal;

    ServedExchange(
            Frame invoke,
            Request request,
            PeerLink link,
            Materializer materializer,
            Metrics metrics,
            Consumer<ServedExchange> onEnd) {
        this.id = invoke.getExchange();
        this.invoke = invoke.toBuilder().setInvoke(withoutBody(invoke)).build();
        this.request = request;
        this.link = link;
        this.materializer = materializer;
        this.metrics = metrics;
        this.onEnd = onEnd;
        this.credit = Integer.toUnsignedLong(invoke.getInvoke().getCreditBytes());
        incoming.next(invoke.getSequence());
    }

    ExchangeId id() {
        return id;
    }

    @Override
    public Request request() {
        return request;
    }

    @Override
    public PeerLink link() {
        return link;
    }

    @Override
    public long configSequence() {
        return invoke.getInvoke().getConfigSequence();
    }

    @Override
    public int priority() {
        return invoke.getInvoke().getPriority();
    }

    @Override
    public void refuse(Refusal refusal, Load load) {
        BodySender running;
        synchronized (this) {
            if (done) {
                return;
            }
            done = true;
            running = body;
            Refused refused = RefusalCodec.toWire(clearNotRunIfStarted(refusal), load);
            wholeRefusal = running == null ? refused : null;
            send(frame().setRefused(refused));
        }
        end(running);
    }

    @Override
    public void serve(Answer.Served answer, Supplier<Load> load, Supplier<Long> tokens) {
        BodySender fresh = null;
        synchronized (this) {
            if (!done && body == null) {
                fresh =
                        new BodySender(
                                this::chunk, (total, why) -> ended(total, why, load, tokens));
                fresh.grant(credit);
                body = fresh;
                send(frame().setStarted(started(answer)));
            }
        }
        if (fresh == null) {
            answer.body().runWith(Sink.cancelled(), materializer);
        } else {
            fresh.run(answer.body(), materializer);
        }
    }

    @Override
    public void onCancel(Runnable action) {
        synchronized (this) {
            if (!cancelled) {
                onCancel.add(action);
                return;
            }
        }
        action.run();
    }

    @Override
    public synchronized boolean cancelled() {
        return cancelled;
    }

    /** Returns the refusal, if it was the whole answer. */
    synchronized Optional<Refused> wholeRefusal() {
        return Optional.ofNullable(wholeRefusal);
    }

    void received(PeerLink from, Frame frame) {
        if (from != link) {
            drop("crossed");
            return;
        }
        FrameSequence.Position position;
        synchronized (this) {
            position = incoming.next(frame.getSequence());
        }
        switch (position) {
            case IN_ORDER -> handle(frame);
            case DOUBLED -> drop("doubled");
            default -> {
                drop("gap");
                cancel(Optional.of(missingFrames()));
            }
        }
    }

    void linkClosed(PeerLink closed) {
        if (closed == link) {
            cancel();
        }
    }

    /** Cancels the exchange if its link closed before it was registered as running. */
    void cancelIfLinkClosed() {
        if (!link.open()) {
            cancel();
        }
    }

    private void handle(Frame frame) {
        if (frame.hasCancel()) {
            cancel();
            return;
        }
        long granted = Integer.toUnsignedLong(frame.getCredit().getBytes());
        BodySender running;
        synchronized (this) {
            running = body;
            credit += running == null ? granted : 0;
        }
        if (running != null) {
            running.grant(granted);
        }
    }

    private void cancel() {
        cancel(Optional.empty());
    }

    private void cancel(Optional<Refused> finalFrame) {
        List<Runnable> actions;
        BodySender running;
        synchronized (this) {
            if (done) {
                return;
            }
            done = true;
            cancelled = true;
            finalFrame.ifPresent(refused -> send(frame().setRefused(refused)));
            running = body;
            actions = List.copyOf(onCancel);
        }
        end(running);
        actions.forEach(this::run);
    }

    private void end(BodySender running) {
        onEnd.accept(this);
        if (running != null) {
            running.cancel();
        }
    }

    private void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            metrics.count("exchange_handler_failed");
        }
    }

    private synchronized boolean chunk(ByteString data) {
        Chunk chunk = Chunk.newBuilder().setData(InvokeCodec.toWire(data)).build();
        return done || send(frame().setChunk(chunk));
    }

    private void ended(long total, Throwable why, Supplier<Load> load, Supplier<Long> tokens) {
        if (why != null && !link.open()) {
            cancel();
            return;
        }
        if (why != null) {
            metrics.count("exchange_body_failed");
            refuse(
                    Refusal.mayHaveRun(RefusalCode.UPSTREAM_FAILED, "the upstream broke off"),
                    valueOrDefault(load, Load.getDefaultInstance()));
            return;
        }
        End end =
                End.newBuilder()
                        .setTotalBytes(total)
                        .setTokensUsed(Math.max(0, valueOrDefault(tokens, 0L)))
                        .setLoad(valueOrDefault(load, Load.getDefaultInstance()))
                        .build();
        synchronized (this) {
            if (done) {
                return;
            }
            done = true;
            send(frame().setEnd(end));
        }
        onEnd.accept(this);
    }

    private <T> T valueOrDefault(Supplier<T> supplier, T otherwise) {
        try {
            T given = supplier.get();
            return given == null ? otherwise : given;
        } catch (RuntimeException e) {
            metrics.count("exchange_handler_failed");
            return otherwise;
        }
    }

    /** Clears {@code notRun} once an answer has begun, since the request has then run. */
    private Refusal clearNotRunIfStarted(Refusal refusal) {
        return body == null
                ? refusal
                : new Refusal(refusal.code(), refusal.message(), false, refusal.retryAfter());
    }

    private Frame.Builder frame() {
        return Frame.newBuilder().setExchange(id).setSequence(sent++);
    }

    private boolean send(Frame.Builder frame) {
        return link.send(frame.build());
    }

    private void drop(String reason) {
        metrics.count("exchange_frames_dropped", "reason", reason);
    }

    private static Refused missingFrames() {
        Refusal refusal =
                Refusal.mayHaveRun(
                        RefusalCode.UPSTREAM_FAILED, "frames of the request are missing");
        return RefusalCodec.toWire(refusal, Load.getDefaultInstance());
    }

    private static Started started(Answer.Served answer) {
        return Started.newBuilder()
                .setStatus(answer.status())
                .addAllHeaders(InvokeCodec.toWire(answer.headers()))
                .build();
    }

    private static io.damaskyoke.peer.wire.Invoke withoutBody(Frame invoke) {
        return invoke.getInvoke().toBuilder().clearBody().build();
    }
}
