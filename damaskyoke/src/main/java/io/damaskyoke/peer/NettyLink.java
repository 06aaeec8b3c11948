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

/** One connection from its first wish to its end; never opened a second time. */
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
    private final CompletableFuture<Void> over = new CompletableFuture<>();
    private volatile State state = State.CONNECTING;
    private volatile Channel channel;
    private volatile Hello remote;
    private volatile boolean carriedAnExchange;

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
            carriedAnExchange = true;
        }
        return enqueue(stamped);
    }

    /** True if a request's or answer's frame was sent since this was last asked. */
    boolean takeCarriedAnExchange() {
        boolean carried = carriedAnExchange;
        carriedAnExchange = false;
        return carried;
    }

    /** The VM that has to answer; empty on a connection that the other side opened. */
    Optional<VmId> expected() {
        return expected;
    }

    /** Completes when both sides have said hello; fails with a {@link PeerException}. */
    CompletionStage<PeerLink> ready() {
        return ready.minimalCompletionStage();
    }

    /** Completes when the link has ended, whether it was ever open or not. */
    CompletionStage<Void> over() {
        return over.minimalCompletionStage();
    }

    boolean ended() {
        return state == State.CLOSED;
    }

    void attach(Channel opened) {
        channel = opened;
    }

    /** Both sides have said hello; false if the link had ended by then. */
    synchronized boolean opened(Hello hello) {
        if (state != State.CONNECTING) {
            return false;
        }
        remote = hello;
        state = State.OPEN;
        return true;
    }

    /** Tells whoever waits for {@link #ready()}, once the listeners know of the link. */
    void announce() {
        ready.complete(this);
    }

    /** The link is over; true for the first caller, and only if it had been open. */
    boolean end(PeerException why) {
        boolean wasOpen;
        synchronized (this) {
            wasOpen = state == State.OPEN;
            state = State.CLOSED;
        }
        ready.completeExceptionally(why);
        over.complete(null);
        return wasOpen;
    }

    /** Closes the connection; the handler then sees it go. */
    void close() {
        Channel present = channel;
        if (present != null) {
            present.close();
        }
    }

    /** Closes the connection, or gives it up if there is none yet. */
    void close(PeerException why) {
        if (open()) {
            close();
            return;
        }
        end(why);
        close();
    }

    /**
     * Hands the frame to the connection's thread, also when that is the present one.
     *
     * <p>A write from that thread itself would overtake what other threads have queued, and the
     * other side would see a gap in the numbers of an exchange and break a good answer.
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
