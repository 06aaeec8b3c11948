package io.damaskyoke.peer;

import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.RejectedExecutionException;

/** A single connection to a peer over Netty, from its creation to its end; it is never reopened. */
final class NettyLink implements PeerLink {
    private enum State {
        CONNECTING,
        OPEN,
        CLOSED
    }

    private final Optional<VmId> expected;
    private final ClockGuard clock;
    private final int maxFrameBytes;
    private final Metrics metrics;
    private final CompletableFuture<PeerLink> ready = new CompletableFuture<>();
    private final CompletableFuture<Void> whenEnded = new CompletableFuture<>();
    private volatile State state = State.CONNECTING;
    private volatile Channel channel;
    private volatile Hello remote;
    private volatile boolean exchangeFrameSent;

    NettyLink(Optional<VmId> expected, ClockGuard clock, int maxFrameBytes, Metrics metrics) {
        this.expected = expected;
        this.clock = clock;
        this.maxFrameBytes = maxFrameBytes;
        this.metrics = metrics;
    }

    @Override
    public Optional<Hello> remote() {
        return Optional.ofNullable(remote);
    }

    @Override
    public boolean open() {
        return state == State.OPEN;
    }

    @Override
    public boolean writable() {
        return open() && channel.isWritable();
    }

    @Override
    public boolean send(Frame frame) {
        if (!open()) {
            return false;
        }
        Frame stamped = frame.toBuilder().setSentAt(clock.now()).build();
        if (stamped.getSerializedSize() > maxFrameBytes) {
            metrics.count("peer_frames_too_large");
            return false;
        }
        if (stamped.hasExchange()) {
            exchangeFrameSent = true;
        }
        return enqueue(stamped);
    }

    /** Returns true if a frame of an exchange was sent since the last call, and resets the mark. */
    boolean takeExchangeFrameSent() {
        boolean carried = exchangeFrameSent;
        exchangeFrameSent = false;
        return carried;
    }

    /** Returns the VM expected at the other end; empty on a connection that the peer opened. */
    Optional<VmId> expected() {
        return expected;
    }

    /** Completes when both hello frames were exchanged; fails with a {@link PeerException}. */
    CompletionStage<PeerLink> ready() {
        return ready.minimalCompletionStage();
    }

    /** Completes when the link has ended, whether it was ever open or not. */
    CompletionStage<Void> whenEnded() {
        return whenEnded.minimalCompletionStage();
    }

    boolean ended() {
        return state == State.CLOSED;
    }

    void attach(Channel opened) {
        channel = opened;
    }

    /** Opens the link with the peer's hello frame; returns false if the link had already ended. */
    synchronized boolean opened(Hello hello) {
        if (state != State.CONNECTING) {
            return false;
        }
        remote = hello;
        state = State.OPEN;
        return true;
    }

    /** Completes {@link #ready()}; called after the listeners were notified of the link. */
    void completeReady() {
        ready.complete(this);
    }

    /** Ends the link; returns true for the first caller, and only if the link had been open. */
    boolean end(PeerException why) {
        boolean wasOpen;
        synchronized (this) {
            wasOpen = state == State.OPEN;
            state = State.CLOSED;
        }
        ready.completeExceptionally(why);
        whenEnded.complete(null);
        return wasOpen;
    }

    /** Closes the connection; the handler is then called for the closed channel. */
    void close() {
        Channel present = channel;
        if (present != null) {
            present.close();
        }
    }

    /** Closes the connection, or ends the link if it is not open yet. */
    void close(PeerException why) {
        if (open()) {
            close();
            return;
        }
        end(why);
        close();
    }

    /**
     * Hands the frame to the connection's event loop, also when called on that loop's thread.
     *
     * <p>A direct write from that thread would overtake the frames that other threads have queued,
     * and the receiver would see a gap in an exchange's sequence and abort a good answer.
     */
    private boolean enqueue(Frame stamped) {
        try {
            channel.eventLoop().execute(() -> write(stamped));
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    private void write(Frame stamped) {
        channel.writeAndFlush(stamped).addListener((ChannelFutureListener) this::closeIfFailed);
    }

    private void closeIfFailed(ChannelFuture written) {
        if (!written.isSuccess()) {
            close();
        }
    }
}
