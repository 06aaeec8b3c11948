package io.damaskyoke.direct;

import io.damaskyoke.control.Control;
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
 * The control thread and the traffic thread as one event loop, for VMs with a part of one core: a
 * step from the one to the other would cost a wake-up for each request and each event.
 */
final class LoopControl implements Control {
    private static final Logger LOG = LogManager.getLogger(LoopControl.class);

    private final EventLoop loop;
    private final InstantSource clock;

    LoopControl(EventLoop loop, InstantSource clock) {
        this.loop = loop;
        this.clock = clock;
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
    public <T> CompletionStage<T> ask(Supplier<T> step) {
        return CompletableFuture.supplyAsync(step, loop);
    }

    @Override
    public Cancellable after(Duration delay, Runnable step) {
        ScheduledFuture<?> timer =
                loop.schedule(() -> safely(step), delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }

    @Override
    public Cancellable every(Duration period, Runnable step) {
        long nanos = period.toNanos();
        ScheduledFuture<?> timer =
                loop.scheduleWithFixedDelay(() -> safely(step), nanos, nanos, TimeUnit.NANOSECONDS);
        return () -> timer.cancel(false);
    }

    @Override
    public InstantSource clock() {
        return clock;
    }

    // A step that throws would end its timer, and with it a duty of this router, without a word.
    private static void safely(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("a step failed", e);
        }
    }
}
