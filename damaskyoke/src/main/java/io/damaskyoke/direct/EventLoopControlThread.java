package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A control thread that shares one event loop with the traffic, for VMs with a fraction of a core:
 * handing over between two threads would cost a wake-up for each request and each event.
 */
final class EventLoopControlThread implements ControlThread {
    private static final Logger LOG = LogManager.getLogger(EventLoopControlThread.class);

    private static final Duration BEAT = Duration.ofMillis(50);

    private final EventLoop loop;
    private final InstantSource clock;
    private final EventLoopHoldTimes holds;

    EventLoopControlThread(EventLoop loop, InstantSource clock, EventLoopHoldTimes holds) {
        this.loop = loop;
        this.clock = clock;
        this.holds = holds;
    }

    @Override
    public void run(Runnable step) {
        if (loop.inEventLoop()) {
            safely(step);
        } else {
            loop.execute(() -> safely(step));
        }
    }

    @Override
    public <T> CompletionStage<T> call(Supplier<T> step) {
        return CompletableFuture.supplyAsync(step, loop);
    }

    @Override
    public Cancellable after(Duration delay, Runnable step) {
        ScheduledFuture<?> timer =
                loop.schedule(() -> safely(step), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }

    /**
     * Runs a step periodically, aligned to ticks that all periodic steps share. A dozen unaligned
     * timers would each wake up the VM as often as all of them need together.
     */
    @Override
    public Cancellable every(Duration period, Runnable step) {
        Repeated repeated = new Repeated(period, step);
        repeated.plan();
        return repeated;
    }

    /** A step that runs periodically until it is cancelled. */
    private final class Repeated implements Cancellable {
        private final Duration period;
        private final Runnable step;
        private volatile boolean cancelled;

        Repeated(Duration period, Runnable step) {
            this.period = period;
            this.step = step;
        }

        void plan() {
            long pause = nanosToTick(System.nanoTime(), period.toNanos());
            loop.schedule(this::run, pause, TimeUnit.NANOSECONDS);
        }

        private void run() {
            if (!cancelled) {
                safely(step);
                plan();
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }

    /** Returns the nanoseconds from now to the tick nearest to one period from now. */
    static long nanosToTick(long nowNanos, long periodNanos) {
        long beat = Math.min(BEAT.toNanos(), periodNanos);
        long due = nowNanos + periodNanos;
        long past = Math.floorMod(due, beat);
        long aligned = past < beat / 2 ? due - past : due - past + beat;
        return aligned - nowNanos;
    }

    @Override
    public InstantSource clock() {
        return clock;
    }

    // A step that throws would silently end its timer, and with it a task of this router.
    private void safely(Runnable step) {
        long began = System.nanoTime();
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("a step of the control thread failed", e);
        }
        holds.record(step, System.nanoTime() - began);
    }
}
