package io.damaskyoke.control.claims;

import java.time.Duration;

/**
 * How claims are written and kept.
 *
 * @param gather how long a claim waits for others to share its transaction
 * @param lazyGather the same for changes that no request waits for
 * @param retryFirst longest pause after a first failure of the store; doubles
 * @param retryMost longest pause after many
 * @param maxOperations changes in one transaction
 * @param maxBytes of keys and values in one transaction; the store takes 1.5 MB
 * @param maxPending changes that may wait at once
 * @param maxWait longest that a request waits for its claim
 * @param maxBody bytes of an answer that are kept
 * @param retention how long a key is remembered at least
 */
public record ClaimSettings(
        Duration gather,
        Duration lazyGather,
        Duration retryFirst,
        Duration retryMost,
        int maxOperations,
        int maxBytes,
        int maxPending,
        Duration maxWait,
        int maxBody,
        Duration retention) {
    /** What routers use. */
    public static ClaimSettings defaults() {
        return new ClaimSettings(
                Duration.ofMillis(5),
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

    /** When a request that came now should stop waiting: it keeps half its time for its run. */
    public Duration wait(Duration timeLeft) {
        Duration half = timeLeft.dividedBy(2);
        return half.compareTo(maxWait) < 0 ? half : maxWait;
    }
}
