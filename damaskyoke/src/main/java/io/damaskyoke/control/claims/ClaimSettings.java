package io.damaskyoke.control.claims;

import java.time.Duration;

/**
 * Settings of the batching, retries, limits and retention of claims.
 *
 * @param batchDelay time for which a write that a request waits for is delayed to batch it with
 *     others
 * @param backgroundBatchDelay the same delay for writes that no request waits for
 * @param initialBackoff upper bound of the backoff after the first failure of the store; doubles
 *     with each further failure
 * @param maxBackoff upper bound of the backoff after any number of failures
 * @param maxOperations maximum number of writes in one transaction
 * @param maxTransactionBytes maximum size of keys and values in one transaction, in bytes; the
 *     store accepts 1.5 MB
 * @param maxPending maximum number of pending writes
 * @param maxWait maximum time for which a request waits for its claim
 * @param maxBodyBytes maximum size of a recorded response body, in bytes
 * @param retention minimum time for which a key is remembered
 */
public record ClaimSettings(
        Duration batchDelay,
        Duration backgroundBatchDelay,
        Duration initialBackoff,
        Duration maxBackoff,
        int maxOperations,
        int maxTransactionBytes,
        int maxPending,
        Duration maxWait,
        int maxBodyBytes,
        Duration retention) {
    /** Returns the default settings of a router. */
    public static ClaimSettings defaults() {
        return new ClaimSettings(
                Duration.ofMillis(10),
                Duration.ofMillis(250),
                Duration.ofMillis(50),
                Duration.ofSeconds(1),
                64,
                512 * 1024,
                256,
                Duration.ofSeconds(30),
                16 * 1024,
                Duration.ofHours(24));
    }

    /**
     * Returns how long a request waits for its claim, which is at most half of its remaining time,
     * so that the other half is left for the run.
     *
     * @param timeLeft time until the deadline of the request
     */
    public Duration claimTimeout(Duration timeLeft) {
        Duration halfOfTimeLeft = timeLeft.dividedBy(2);
        return halfOfTimeLeft.compareTo(maxWait) < 0 ? halfOfTimeLeft : maxWait;
    }
}
