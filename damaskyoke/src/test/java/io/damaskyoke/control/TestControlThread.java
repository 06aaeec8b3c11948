package io.damaskyoke.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/** Runs steps on the calling thread, for tests, with a clock that only the test advances. */
public final class TestControlThread implements ControlThread {
    private final ArrayDeque<Runnable> steps = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(
                    Comparator.comparing(Timer::at).thenComparingLong(timer -> timer.number));
    private Instant now = Instant.parse("2026-12-01T00:00:00Z");
    private long timerNumber;
    private boolean running;

    @Override
    public void run(Runnable step) {
        steps.add(step);
        if (running) {
            return;
        }
        running = true;
        try {
            while (!steps.isEmpty()) {
                steps.remove().run();
            }
        } finally {
            running = false;
        }
    }

    @Override
    public <T> CompletionStage<T> call(Supplier<T> step) {
        CompletableFuture<T> result = new CompletableFuture<>();
        run(() -> result.complete(step.get()));
        return result;
    }

    @Override
    public Cancellable after(Duration delay, Runnable step) {
        Timer timer = new Timer(now.plus(delay), ++timerNumber, step);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    @Override
    public Cancellable every(Duration period, Runnable step) {
        Cancellable[] next = new Cancellable[1];
        Runnable[] again = new Runnable[1];
        again[0] =
                () -> {
                    next[0] = after(period, again[0]);
                    step.run();
                };
        next[0] = after(period, again[0]);
        return () -> next[0].cancel();
    }

    @Override
    public InstantSource clock() {
        return () -> now;
    }

    /** Advances the clock and runs the timers that expire within this duration, in order. */
    public void advance(Duration duration) {
        Instant end = now.plus(duration);
        while (!timers.isEmpty() && !timers.peek().at.isAfter(end)) {
            Timer due = timers.remove();
            now = due.at;
            run(due.step);
        }
        now = end;
    }

    private record Timer(Instant at, long number, Runnable step) {}
}
