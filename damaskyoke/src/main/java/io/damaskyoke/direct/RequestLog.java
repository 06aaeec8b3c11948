package io.damaskyoke.direct;

import io.damaskyoke.exchange.Refusal;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs one line for each request, up to a limit per second.
 *
 * <p>Under overload, when processor time is scarcest, a line for every request would cost too much
 * of it. The number of omitted lines is logged instead.
 */
final class RequestLog {
    private static final Logger LOG = LogManager.getLogger("request");
    private static final int MOST_PER_SECOND = 120;

    private final InstantSource clock;
    private Instant second = Instant.MIN;
    private int lines;
    private long leftOut;

    RequestLog(InstantSource clock) {
        this.clock = clock;
    }

    /** Logs the outcome of an admitted request. */
    void logFinished(ForwardedRequest flow, String outcome) {
        if (mayWrite()) {
            LOG.info("{} {}", outcome, flow.describe(clock.instant()));
        }
    }

    /** Logs why a request was not admitted, with the inputs of that decision. */
    void logRefused(CallerRequest request, Refusal refusal, String inputs) {
        if (mayWrite()) {
            LOG.info(
                    "not admitted {} {} request={} {}",
                    refusal.code().status(),
                    refusal.message(),
                    request.attemptId(),
                    inputs);
        }
    }

    private boolean mayWrite() {
        Instant now = clock.instant();
        if (second.equals(Instant.MIN) || Duration.between(second, now).toSeconds() >= 1) {
            if (leftOut > 0) {
                LOG.info("omitted {} request log lines in the previous second", leftOut);
            }
            second = now;
            lines = 0;
            leftOut = 0;
        }
        if (++lines > MOST_PER_SECOND) {
            leftOut++;
            return false;
        }
        return true;
    }
}
