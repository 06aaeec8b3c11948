package io.damaskyoke.exchange;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * A final answer that is not the upstream's.
 *
 * @param code the reason
 * @param message one sentence for people
 * @param notRun true only if it is known that no upstream began the request
 * @param retryAfter when coming back can help
 */
public record Refusal(
        RefusalCode code, String message, boolean notRun, Optional<Duration> retryAfter) {
    /** Refuses missing parts and a negative time to come back. */
    public Refusal {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(message, "message");
        retryAfter.ifPresent(Refusal::checkNotNegative);
    }

    /** A refusal of a request that no upstream began. */
    public static Refusal notRun(RefusalCode code, String message) {
        return new Refusal(code, message, true, Optional.empty());
    }

    /** A refusal of a request that an upstream may have begun. */
    public static Refusal mayHaveRun(RefusalCode code, String message) {
        return new Refusal(code, message, false, Optional.empty());
    }

    /** The same refusal, telling the caller when to come back. */
    public Refusal retryAfter(Duration wait) {
        return new Refusal(code, message, notRun, Optional.of(wait));
    }

    private static void checkNotNegative(Duration wait) {
        if (wait.isNegative()) {
            throw new IllegalArgumentException("retryAfter must not be negative: " + wait);
        }
    }
}
