package io.damaskyoke.http;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import java.util.concurrent.TimeUnit;

/** Notes when a loop reads its sockets, around the handler that does. */
final class SocketReads implements IoHandler {
    /** A loop that was busy for less finds what has just come. */
    private static final long HELD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * What is found after a long hold is taken to have come no later than this after the last look:
     * an upstream that is told of half a second more than its caller has works for nobody.
     */
    private static final long LATEST_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final Timed timed = new Timed();
    private IoHandler sockets;
    private boolean underWay;
    private long beganNanos = System.nanoTime();
    private long foundNanos = beganNanos;
    private long heldNanos;
    private long number;

    SocketReads over(IoHandler given) {
        sockets = given;
        return this;
    }

    /** True in the midst of a reading: some of what has come is read, and some is not. */
    boolean underWay() {
        return underWay;
    }

    /** When the last reading began: what came before is known, once it is over. */
    long beganNanos() {
        return beganNanos;
    }

    /** Counts the readings. */
    long number() {
        return number;
    }

    /**
     * When what this reading finds may have come: now, or, if the loop was held since it last
     * looked at its sockets, in the midst of that time. Nothing tells how long bytes have lain
     * unread.
     */
    long cameNanos() {
        return heldNanos > HELD_NANOS
                ? foundNanos + Math.min(heldNanos / 2, LATEST_NANOS)
                : System.nanoTime();
    }

    @Override
    public int run(IoHandlerContext context) {
        underWay = true;
        number++;
        beganNanos = System.nanoTime();
        heldNanos = beganNanos - foundNanos;
        try {
            return sockets.run(timed.over(context));
        } finally {
            underWay = false;
            foundNanos = System.nanoTime() - timed.activeNanos;
        }
    }

    /** Tells how long what was found took, and so when it was found: a loop may sleep before. */
    private static final class Timed implements IoHandlerContext {
        private IoHandlerContext context;
        private long activeNanos;

        Timed over(IoHandlerContext given) {
            context = given;
            activeNanos = 0;
            return this;
        }

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return context.delayNanos(currentTimeNanos);
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return true;
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            activeNanos += nanos;
            if (context.shouldReportActiveIoTime()) {
                context.reportActiveIoTime(nanos);
            }
        }
    }

    @Override
    public void initialize() {
        sockets.initialize();
    }

    @Override
    public void prepareToDestroy() {
        sockets.prepareToDestroy();
    }

    @Override
    public void destroy() {
        sockets.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return sockets.register(handle);
    }

    @Override
    public void wakeup() {
        sockets.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return sockets.isCompatible(type);
    }
}
