package io.damaskyoke.control.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;

/**
 * This router's share of a limit on retries to a service that all routers keep in common.
 *
 * <p>In a sliding window the limit is a fraction of all requests to the service plus a fixed extra
 * number. Each router uses the fraction of its own requests and an equal share of the extra, and
 * only part of that sum, so that routers that start or stop meanwhile don't exceed the limit.
 */
public final class SharedRetryBudget {
    /** Fraction that is used; the rest is kept for routers that just started with empty counts. */
    private static final double USABLE_FRACTION = 0.7;

    private final Duration window;
    private final double ratio;
    private final double extra;
    private final ArrayDeque<Instant> requests = new ArrayDeque<>();
    private final ArrayDeque<Instant> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param window length of the sliding window
     * @param ratio retries allowed for each request in the window
     * @param extra retries allowed in the window on top of these, shared by all routers
     */
    public SharedRetryBudget(Duration window, double ratio, double extra) {
        this.window = window;
        this.ratio = ratio;
        this.extra = extra;
    }

    /** Records a caller's request to the service. */
    public void recordRequest(Instant now) {
        requests.add(now);
        removeExpired(requests, now);
    }

    /**
     * Takes one retry from the budget; returns false if none is left.
     *
     * @param routers number of routers that share the extra
     */
    public boolean takeRetry(int routers, Instant now) {
        boolean allowed = hasRetryLeft(routers, now);
        if (allowed) {
            retries.add(now);
        }
        return allowed;
    }

    /**
     * Returns true if a retry is left, without taking it.
     *
     * @param routers number of routers that share the extra
     */
    public boolean hasRetryLeft(int routers, Instant now) {
        removeExpired(requests, now);
        removeExpired(retries, now);
        double maxRetries =
                USABLE_FRACTION * (ratio * requests.size() + extra / Math.max(1, routers));
        return retries.size() + 1 <= maxRetries;
    }

    private void removeExpired(ArrayDeque<Instant> times, Instant now) {
        while (!times.isEmpty() && !times.peek().plus(window).isAfter(now)) {
            times.remove();
        }
    }
}
