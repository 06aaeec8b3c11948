package io.damaskyoke.direct;

import io.damaskyoke.control.cold.RequestLimit;
import java.util.Optional;

/**
 * What the head of an upstream's answer says.
 *
 * @param notRun whether the upstream vouches that it has not run the request and won't
 * @param misdirected whether it is another upstream than the one meant, or lacks the model
 * @param sealed whether the answer bears the upstream's seal, without which no success counts
 * @param encoded whether the body is not as the upstream made it
 * @param load what runs and waits there, if it says so
 * @param limit what it says of how many requests it takes
 */
public record UpstreamAnswer(
        int status,
        boolean notRun,
        boolean misdirected,
        boolean sealed,
        boolean encoded,
        Optional<Load> load,
        RequestLimit limit) {
    /** Requests that run and wait at the upstream. */
    public record Load(int running, int waiting) {}

    /** True for an answer that callers take as a success. */
    public boolean success() {
        return status >= 200 && status < 300;
    }
}
