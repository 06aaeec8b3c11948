package io.damaskyoke.control.routing;

/**
 * Limits retries to a fraction of the first attempts, over all requests of a router.
 *
 * <p>Without a budget, every request to a failed upstream is retried at the remaining ones, which
 * are then overloaded and fail too. With it, their load grows by at most the ratio.
 */
public final class RetryBudget {
    private static final double MAX_RETRIES = 10.0;

    private final double ratio;
    private double availableRetries = MAX_RETRIES;

    private RetryBudget(double ratio) {
        this.ratio = ratio;
    }

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed for each first attempt, from 0 to 1, for example 0.2
     */
    public static RetryBudget of(double ratio) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException(
                    "retry ratio must be between 0 and 1, but is " + ratio);
        }
        return new RetryBudget(ratio);
    }

    /** Records a first attempt, which adds {@code ratio} retries to the budget. */
    public void recordFirstAttempt() {
        availableRetries = Math.min(MAX_RETRIES, availableRetries + ratio);
    }

    /** Takes one retry from the budget; returns false if less than one is left. */
    public boolean takeRetry() {
        if (availableRetries < 1.0) {
            return false;
        }
        availableRetries -= 1.0;
        return true;
    }
}
