package io.damaskyoke.exchange;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * A final answer given by the system instead of the upstream.
 *
 * @param code the reason of the refusal
 * @param message one sentence for the caller to read
 * @param notRun true only if it is known that no upstream began the request
 * @param retryAfter the time after which a retry can succeed
 */
public record Refusal(
        RefusalCode code, String message, boolean notRun, Optional<Duration> retryAfter) {
    /** Rejects missing fields and a negative retry time. */
    public Refusal {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(message, "message");
        retryAfter.ifPresent(Refusal::checkNotNegative);
    }

    /** Returns a refusal of a request that no upstream began. */
    public static Refusal notRun(RefusalCode code, String message) {
        return new Refusal(code, message, true, Optional.empty());
    }

    /** Returns a refusal of a request that an upstream may have begun. */
    public static Refusal mayHaveRun(RefusalCode code, String message) {
        return new Refusal(code, message, false, Optional.empty());
    }

    /** Returns the same refusal with the time after which to retry. */
    public Refusal retryAfter(Duration wait) {
        return new Refusal(code, message, notRun, Optional.of(wait));
    }

    private static void checkNotNegative(Duration wait) {
        if (wait.isNegative()) {
            throw new IllegalArgumentException("retryAfter must not be negative: " + wait);
        }
    }
}
