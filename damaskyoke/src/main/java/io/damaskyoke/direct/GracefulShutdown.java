package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.http.HttpServer;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/**
 * Shuts a router down gracefully: waits until the load balancer sends callers elsewhere, finishes
 * open requests, and then closes the connections. Once the balancer sends callers elsewhere, no
 * request is passed on that has more time than is left: its caller is told to come back, and
 * reaches another router.
 *
 * <p>The balancer notices within two or three seconds that a router is not ready, and sends it new
 * connections until then. Closing at once would lose these, and also requests that arrive while a
 * kept-alive connection is being closed.
 */
final class GracefulShutdown {
    /** The balancer probes once a second and needs two failed probes. */
    private static final Duration BALANCER_NOTICE_TIME = Duration.ofMillis(2_600);

    /** Time kept for closing before the platform kills the process. */
    private static final Duration CLOSE_RESERVE = Duration.ofMillis(700);

    /** A connection that was idle for this long rarely has a request on its way. */
    private static final Duration IDLE_BEFORE_CLOSE = Duration.ofMillis(400);

    /**
     * Requests that still wait for a model when only this much time is left are refused. If their
     * connection were closed with the process instead, callers would not know that the request has
     * not run, and would not retry at once.
     */
    private static final Duration WAITING_REFUSAL_TIME = Duration.ofMillis(1_500);

    private static final long POLL_MILLIS = 50;

    private final ControlThread control;
    private final HttpServer callers;
    private final Duration grace;
    private final InFlightRequests inFlight;

    GracefulShutdown(
            ControlThread control, HttpServer callers, Duration grace, InFlightRequests inFlight) {
        this.control = control;
        this.callers = callers;
        this.grace = grace;
        this.inFlight = inFlight;
    }

    /**
     * Runs all steps; blocks until no request or connection is left, or time runs out.
     *
     * @param resign gives up the leader's lease; run first, on the control thread
     */
    void run(Runnable resign) {
        long start = System.nanoTime();
        long deadline = start + grace.minus(CLOSE_RESERVE).toNanos();
        runOnControl(
                () -> {
                    resign.run();
                    callers.drain();
                });
        sleepUntil(Math.min(deadline, start + BALANCER_NOTICE_TIME.toNanos()));
        runOnControl(
                () -> {
                    callers.stopListening();
                    Duration left = Duration.ofNanos(deadline - System.nanoTime());
                    inFlight.closesAt(control.clock().instant().plus(left));
                });
        while (System.nanoTime() < deadline) {
            runOnControl(() -> callers.closeIdle(IDLE_BEFORE_CLOSE));
            if (System.nanoTime() > deadline - WAITING_REFUSAL_TIME.toNanos()) {
                runOnControl(() -> inFlight.stop(false));
            }
            boolean done = callOnControl(() -> inFlight.size() == 0 && callers.connections() == 0);
            if (done) {
                return;
            }
            sleepUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
        runOnControl(() -> inFlight.stop(true));
        sleepUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
    }

    private void runOnControl(Runnable step) {
        callOnControl(
                () -> {
                    step.run();
                    return true;
                });
    }

    private boolean callOnControl(java.util.function.Supplier<Boolean> step) {
        try {
            return control.call(step).toCompletableFuture().join();
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
