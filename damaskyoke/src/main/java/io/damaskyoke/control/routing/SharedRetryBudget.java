package io.damaskyoke.control.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;

/**
 * This router's part of a bound on second sends to a service that all routers keep together.
 *
 * <p>The bound counts over a sliding window: a part of the requests for the service, and some more.
 * Each router takes its own requests' part and an even part of the rest, and of both only so much
 * that routers which start or vanish meanwhile don't lead over it.
 */
public final class SharedRetryBudget {
    /** What is left unused for routers that have just started and count from nothing. */
    private static final double PART = 0.7;

    private final Duration window;
    private final double ratio;
    private final double extra;
    private final ArrayDeque<Instant> requests = new ArrayDeque<>();
    private final ArrayDeque<Instant> retries = new ArrayDeque<>();

    /** A budget of {@code ratio} times the requests and {@code extra} more in each window. */
    public SharedRetryBudget(Duration window, double ratio, double extra) {
        this.window = window;
        this.ratio = ratio;
        this.extra = extra;
    }

    /** A caller's request for the service has come. */
    public void requested(Instant now) {
        requests.add(now);
        expire(requests, now);
    }

    /** Takes one second send, with so many routers sharing; false if there is none left. */
    public boolean take(int routers, Instant now) {
        boolean left = left(routers, now);
        if (left) {
            retries.add(now);
        }
        return left;
    }

    /** True if a second send could be taken. */
    public boolean left(int routers, Instant now) {
        expire(requests, now);
        expire(retries, now);
        double most = PART * (ratio * requests.size() + extra / Math.max(1, routers));
        return retries.size() + 1 <= most;
    }

    private void expire(ArrayDeque<Instant> times, Instant now) {
        while (!times.isEmpty() && !times.peek().plus(window).isAfter(now)) {
            times.remove();
        }
    }
}
