package io.damaskyoke.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * One thread for sockets, timers and steps, which knows how far it is with reading its sockets:
 * {@code loop.whenRead(step)}.
 *
 * <p>A thread that was held, because its VM's processor was taken away or a step lasted long, finds
 * requests of the last seconds and the ends of their callers together. In the midst of reading it
 * knows only some of them. What must not be done for callers that have left is done after that.
 */
public final class HttpLoop implements AutoCloseable {
    /** Callers' upstreams may work for nobody for half a second after the caller's end came. */
    private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final SocketReads reads = new SocketReads();
    private final EventLoopGroup group;
    private final EventLoop events;

    private HttpLoop() {
        IoHandlerFactory sockets = NioIoHandler.newFactory();
        this.group =
                new MultiThreadIoEventLoopGroup(
                        1, executor -> reads.over(sockets.newHandler(executor)));
        this.events = (EventLoop) group.next();
    }

    /** A loop with a thread of its own, which begins with its first step. */
    public static HttpLoop start() {
        return new HttpLoop();
    }

    /** The loop for channels, timers and steps. */
    public EventLoop events() {
        return events;
    }

    /** The same as a group of one. */
    public EventLoopGroup group() {
        return group;
    }

    /**
     * Runs a step once everything is read that had come to the sockets a moment ago, the ends of
     * callers above all: now, if that is so. On the loop only.
     */
    public void whenRead(Runnable step) {
        if (reads.underWay()) {
            // Ends that are read are told in steps that wait by the time the reading is over.
            events.execute(() -> events.execute(() -> whenRead(step)));
        } else if (System.nanoTime() - reads.beganNanos() > FRESH_NANOS) {
            // A timer that is set here is due only after the next reading. Not again after that: a
            // thread whose every turn lasts so long must still serve.
            events.schedule(step, 0, TimeUnit.NANOSECONDS);
        } else {
            step.run();
        }
    }

    SocketReads reads() {
        return reads;
    }

    /** Ends the thread; what is open is closed. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
