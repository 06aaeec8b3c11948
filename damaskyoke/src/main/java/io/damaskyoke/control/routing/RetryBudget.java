package io.damaskyoke.control.routing;

/**
 * Bounds retries to a part of the first tries, over a router's whole traffic.
 *
 * <p>Without it a dead upstream makes every one of its requests a second one for the upstreams that
 * are left, which then fail in their turn. With it the load on them grows by the ratio at most.
 */
public final class RetryBudget {
    private static final double START = 10.0;

    private final double ratio;
    private double left = START;

    private RetryBudget(double ratio) {
        this.ratio = ratio;
    }

    /** A budget of {@code ratio} retries for each first try, for example 0.2. */
    public static RetryBudget of(double ratio) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio must be 0 to 1: " + ratio);
        }
        return new RetryBudget(ratio);
    }

    /** A first try earns its part of a retry. */
    public void firstTry() {
        left = Math.min(START, left + ratio);
    }

    /** Takes one retry from the budget; false if there is none. */
    public boolean takeRetry() {
        if (left < 1.0) {
            return false;
        }
        left -= 1.0;
        return true;
    }
}
