package io.damaskyoke.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * An event loop of one thread for sockets, timers and tasks, which can defer a task until all
 * sockets are read: {@code loop.runAfterRead(step)}.
 *
 * <p>A thread that was stalled, by CPU steal of its VM or by a long task, finds the requests of the
 * last seconds together with the disconnects of their callers. In the middle of a read pass it has
 * seen only some of them. Work that must not be done for callers that have disconnected is
 * therefore deferred until the pass is over.
 */
public final class HttpLoop implements AutoCloseable {
    /**
     * The age up to which a read pass counts as recent. An upstream may work for at most half a
     * second for a caller that has disconnected.
     */
    private static final long RECENT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final ReadPassHandler reads = new ReadPassHandler();
    private final EventLoopGroup group;
    private final EventLoop events;

    private HttpLoop() {
        IoHandlerFactory sockets = NioIoHandler.newFactory();
        this.group =
                new MultiThreadIoEventLoopGroup(
                        1, executor -> reads.wrap(sockets.newHandler(executor)));
        this.events = (EventLoop) group.next();
    }

    /** Creates a loop with a thread of its own, which starts with the first task. */
    public static HttpLoop start() {
        return new HttpLoop();
    }

    /** Returns the Netty event loop for channels, timers and tasks. */
    public EventLoop events() {
        return events;
    }

    /** Returns the event loop as a group of one. */
    public EventLoopGroup group() {
        return group;
    }

    /**
     * Runs a step once all sockets have been read recently, so that disconnects of callers are
     * known: at once if they have been. To be called on the loop only.
     */
    public void runAfterRead(Runnable step) {
        if (reads.isReading()) {
            // Disconnects that are read are reported by tasks queued before the read pass is over.
            events.execute(() -> events.execute(() -> runAfterRead(step)));
        } else if (System.nanoTime() - reads.passStartNanos() > RECENT_NANOS) {
            // A timer that is set here is due only after the next read pass. The step is not
            // deferred
            // again after that: a thread whose every iteration takes this long must still serve.
            events.schedule(step, 0, TimeUnit.NANOSECONDS);
        } else {
            step.run();
        }
    }

    ReadPassHandler reads() {
        return reads;
    }

    /** Stops the thread and closes all open channels. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
