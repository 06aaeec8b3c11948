package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.metrics.Metrics;
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

    private static final Duration TICK = Duration.ofMillis(50);

    private final EventLoop loop;
    private final InstantSource clock;
    private final Metrics metrics;
    private final EventLoopHoldTimes holdTimes;

    EventLoopControlThread(EventLoop loop, InstantSource clock, Metrics metrics) {
        this.loop = loop;
        this.clock = clock;
        this.metrics = metrics;
        this.holdTimes = new EventLoopHoldTimes(metrics);
    }

    @Override
    public void run(Runnable step) {
        if (loop.inEventLoop()) {
            runAndLogFailure(step);
        } else {
            loop.execute(() -> runAndLogFailure(step));
        }
    }

    @Override
    public <T> CompletionStage<T> call(Supplier<T> step) {
        return CompletableFuture.supplyAsync(step, loop);
    }

    @Override
    public Cancellable after(Duration delay, Runnable step) {
        ScheduledFuture<?> timer =
                loop.schedule(() -> runAndLogFailure(step), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }

    /**
     * Runs a step periodically, aligned to ticks that all periodic steps share. A dozen unaligned
     * timers would each wake up the VM as often as all of them need together.
     */
    @Override
    public Cancellable every(Duration period, Runnable step) {
        PeriodicStep periodic = new PeriodicStep(period, step);
        periodic.schedule();
        return periodic;
    }

    /** A step that runs periodically until it is cancelled. */
    private final class PeriodicStep implements Cancellable {
        private final Duration period;
        private final Runnable step;
        private volatile boolean cancelled;

        PeriodicStep(Duration period, Runnable step) {
            this.period = period;
            this.step = step;
        }

        void schedule() {
            long pause = nanosToTick(System.nanoTime(), period.toNanos());
            loop.schedule(this::run, pause, TimeUnit.NANOSECONDS);
        }

        private void run() {
            if (!cancelled) {
                runAndLogFailure(step);
                schedule();
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }

    /** Returns the nanoseconds from now to the tick nearest to one period from now. */
    static long nanosToTick(long nowNanos, long periodNanos) {
        long tick = Math.min(TICK.toNanos(), periodNanos);
        long due = nowNanos + periodNanos;
        long sinceTick = Math.floorMod(due, tick);
        long aligned = sinceTick < tick / 2 ? due - sinceTick : due - sinceTick + tick;
        return aligned - nowNanos;
    }

    @Override
    public InstantSource clock() {
        return clock;
    }

    // A step that throws would silently end its timer, and with it a task of this router. An error
    // that left the step would end in a future that nobody looks at.
    private void runAndLogFailure(Runnable step) {
        long start = System.nanoTime();
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            metrics.count("control_steps_failed");
            LOG.error("a step of the control thread failed", e);
        }
        holdTimes.record(step, System.nanoTime() - start);
    }
}
