package io.damaskyoke.peer;

import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Heartbeat;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Handles one connection: the hello frame, then frames and heartbeats, until it closes. */
final class LinkHandler extends SimpleChannelInboundHandler<Frame> {
    /** The settings and services that all connections of a process share. */
    record Context(
            Frame hello,
            Supplier<Heartbeat> heartbeat,
            Duration interval,
            Duration silence,
            int maxFrameBytes,
            ClockGuard clock,
            LinkRegistry events) {}

    private final NettyLink link;
    private final Context context;
    private Future<?> helloTimeout;
    private Future<?> heartbeats;
    private Rejection rejection;

    LinkHandler(NettyLink link, Context context) {
        this.link = link;
        this.context = context;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(context.hello().toBuilder().setSentAt(context.clock().now()).build());
        helloTimeout =
                ctx.executor()
                        .schedule(
                                () -> reject(ctx, Rejection.NO_HELLO),
                                context.silence().toMillis(),
                                TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        if (rejection != null || link.ended()) {
            return;
        }
        if (link.open()) {
            receive(frame);
        } else {
            handshake(ctx, frame);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent && link.remote().isEmpty()) {
            // The idle timeout and the hello timeout have the same length, and either may fire
            // first.
            reject(ctx, Rejection.NO_HELLO);
        } else if (event instanceof IdleStateEvent) {
            context.events().count("peer_silent");
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Rejection.of(cause)
                .ifPresentOrElse(reason -> reject(ctx, reason), () -> connectionFailed(ctx));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancel(helloTimeout);
        cancel(heartbeats);
        if (!link.open() && !link.ended() && rejection == null) {
            rejection = Rejection.GONE_BEFORE_HELLO;
            context.events().rejected(rejection);
        }
        if (link.end(closeReason())) {
            context.events().closed(link);
        }
    }

    private void receive(Frame frame) {
        context.clock().observe(frame.getSentAt());
        if (frame.hasHello()) {
            context.events().count("peer_late_hello");
            return;
        }
        context.events().received(link, frame);
    }

    private void handshake(ChannelHandlerContext ctx, Frame first) {
        Optional<Rejection> refused = Handshake.check(first, link.expected());
        if (refused.isPresent()) {
            reject(ctx, refused.get());
            return;
        }
        cancel(helloTimeout);
        context.clock().observe(first.getSentAt());
        if (!link.opened(first.getHello())) {
            ctx.close();
            return;
        }
        LinkPipeline.allowFullFrames(ctx.pipeline(), context);
        heartbeats = startHeartbeats(ctx);
        context.events().opened(link);
        link.completeReady();
    }

    private Future<?> startHeartbeats(ChannelHandlerContext ctx) {
        long interval = context.interval().toMillis();
        return ctx.executor()
                .scheduleAtFixedRate(this::heartbeat, 0, interval, TimeUnit.MILLISECONDS);
    }

    // Frames of an exchange show that this process is alive as well as heartbeats do. At the design
    // size a router has some six hundred links that carry answers all the time; heartbeats on each
    // would alone take several times what a node may send for control.
    private void heartbeat() {
        if (link.takeExchangeFrameSent()) {
            return;
        }
        try {
            link.send(Frame.newBuilder().setHeartbeat(context.heartbeat().get()).build());
        } catch (RuntimeException e) {
            context.events().count("peer_heartbeat_failed");
        }
    }

    private void reject(ChannelHandlerContext ctx, Rejection reason) {
        if (rejection == null) {
            rejection = reason;
            context.events().rejected(reason);
        }
        ctx.close();
    }

    private void connectionFailed(ChannelHandlerContext ctx) {
        context.events().count("peer_broken_off");
        ctx.close();
    }

    private PeerException closeReason() {
        return rejection == null
                ? new PeerException(PeerException.Code.UNREACHABLE, "the peer connection closed")
                : new PeerException(
                        PeerException.Code.REJECTED,
                        "the peer connection was rejected: " + rejection.label());
    }

    private static void cancel(Future<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
