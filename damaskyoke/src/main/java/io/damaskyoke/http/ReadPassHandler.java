package io.damaskyoke.http;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/** Wraps the handler that reads a loop's sockets and records when each read pass takes place. */
final class ReadPassHandler implements IoHandler {
    /** A loop that was busy for less than this finds bytes that have just arrived. */
    private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Bytes found after a long stall are assumed to have arrived no later than this after the last
     * read pass. An upstream that is given half a second more than its caller has left would work
     * for nobody.
     */
    private static final long MAX_ARRIVAL_OFFSET_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final ActiveTimeContext activeTime = new ActiveTimeContext();
    private final List<LongConsumer> beforePass = new ArrayList<>();
    private IoHandler sockets;
    private boolean reading;
    private long passStartNanos = System.nanoTime();
    private long lastFoundNanos = passStartNanos;
    private long stalledNanos;
    private long passCount;

    ReadPassHandler wrap(IoHandler given) {
        sockets = given;
        return this;
    }

    /**
     * Runs a step before each read pass from now on. It is given how long the last pass, and the
     * tasks after it, kept the thread busy, in nanoseconds.
     */
    void beforeEachPass(LongConsumer step) {
        beforePass.add(step);
    }

    /** Returns true during a read pass, when only some of the sockets are read. */
    boolean isReading() {
        return reading;
    }

    /**
     * Returns when the last read pass began, in nanoseconds of {@link System#nanoTime()}; all bytes
     * that arrived before are read once it is over.
     */
    long passStartNanos() {
        return passStartNanos;
    }

    /** Returns the number of read passes so far. */
    long passCount() {
        return passCount;
    }

    /**
     * Returns the assumed arrival time of the bytes found in this read pass, in nanoseconds of
     * {@link System#nanoTime()}: now, or within the stall if the loop was stalled since the last
     * pass. How long bytes have lain unread can't be determined.
     */
    long arrivalNanos() {
        return stalledNanos > MIN_STALL_NANOS
                ? lastFoundNanos + Math.min(stalledNanos / 2, MAX_ARRIVAL_OFFSET_NANOS)
                : System.nanoTime();
    }

    @Override
    public int run(IoHandlerContext context) {
        reading = true;
        passCount++;
        passStartNanos = System.nanoTime();
        stalledNanos = passStartNanos - lastFoundNanos;
        beforePass.forEach(step -> step.accept(stalledNanos));
        try {
            return sockets.run(activeTime.over(context));
        } finally {
            reading = false;
            lastFoundNanos = System.nanoTime() - activeTime.activeNanos;
        }
    }

    /**
     * Measures how long handling the ready sockets took, and so when they were found ready: a pass
     * may begin by sleeping.
     */
    private static final class ActiveTimeContext implements IoHandlerContext {
        private IoHandlerContext context;
        private long activeNanos;

        ActiveTimeContext over(IoHandlerContext given) {
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
