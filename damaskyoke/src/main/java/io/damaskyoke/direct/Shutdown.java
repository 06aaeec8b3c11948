package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.http.HttpServer;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/**
 * Ends a router in steps: callers are sent elsewhere, what is open is finished, then all is closed.
 *
 * <p>The balancer notices within two or three seconds that a router isn't ready, and sends new
 * connections until then. Closed at once, those would be lost, and so would requests that cross the
 * close of a kept connection.
 */
final class Shutdown {
    /** The balancer asks once a second and believes the second no. */
    private static final Duration BALANCER = Duration.ofMillis(2_600);

    /** What is left for closing when the platform's patience ends. */
    private static final Duration RESERVE = Duration.ofMillis(700);

    /** A connection idle for so long has no request crossing our close, as a rule. */
    private static final Duration IDLE = Duration.ofMillis(400);

    /**
     * A request that still waits for a model when so little is left is refused. Closed with the
     * process, its caller would not know that it has not run, nor come back at once.
     */
    private static final Duration WAITING = Duration.ofMillis(1_500);

    private static final long STEP_MILLIS = 50;

    private final ControlThread control;
    private final HttpServer callers;
    private final Duration grace;
    private final InFlightRequests flows;

    Shutdown(ControlThread control, HttpServer callers, Duration grace, InFlightRequests flows) {
        this.control = control;
        this.callers = callers;
        this.grace = grace;
        this.flows = flows;
    }

    /** Runs all steps, the duties' end first; blocks until nothing is left or time is short. */
    void run(Runnable endDuties) {
        long began = System.nanoTime();
        long last = began + grace.minus(RESERVE).toNanos();
        onControl(
                () -> {
                    endDuties.run();
                    callers.drain();
                });
        sleepUntil(Math.min(last, began + BALANCER.toNanos()));
        onControl(callers::stopListening);
        while (System.nanoTime() < last) {
            onControl(() -> callers.closeIdle(IDLE));
            if (System.nanoTime() > last - WAITING.toNanos()) {
                onControl(() -> flows.stop(false));
            }
            boolean done = ask(() -> flows.size() == 0 && callers.connections() == 0);
            if (done) {
                return;
            }
            sleepUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS));
        }
        onControl(() -> flows.stop(true));
        sleepUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS));
    }

    private void onControl(Runnable step) {
        ask(
                () -> {
                    step.run();
                    return true;
                });
    }

    private boolean ask(java.util.function.Supplier<Boolean> question) {
        try {
            return control.call(question).toCompletableFuture().join();
        } catch (CompletionException e) {
            return true;
        }
    }

    private static void sleepUntil(long nanos) {
        long left = nanos - System.nanoTime();
        if (left <= 0) {
            return;
        }
        try {
            TimeUnit.NANOSECONDS.sleep(left);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
