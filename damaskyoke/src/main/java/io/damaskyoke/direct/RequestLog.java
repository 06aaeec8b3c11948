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
    private static final int MAX_LINES_PER_SECOND = 120;

    private final InstantSource clock;
    private Instant windowStart = Instant.MIN;
    private int linesInWindow;
    private long omittedLines;

    RequestLog(InstantSource clock) {
        this.clock = clock;
    }

    /** Logs the outcome of an admitted request. */
    void logFinished(ForwardedRequest flow, String outcome) {
        if (acquireLine()) {
            LOG.info("{} {}", outcome, flow.describe(clock.instant()));
        }
    }

    /** Logs why a request was not admitted, with the inputs of that decision. */
    void logRefused(CallerRequest request, Refusal refusal, String inputs) {
        if (acquireLine()) {
            LOG.info(
                    "not admitted {} {} request={} {}",
                    refusal.code().status(),
                    refusal.message(),
                    request.attemptId(),
                    inputs);
        }
    }

    private boolean acquireLine() {
        Instant now = clock.instant();
        if (windowStart.equals(Instant.MIN)
                || Duration.between(windowStart, now).toSeconds() >= 1) {
            if (omittedLines > 0) {
                LOG.info("omitted {} request log lines in the previous second", omittedLines);
            }
            windowStart = now;
            linesInWindow = 0;
            omittedLines = 0;
        }
        if (++linesInWindow > MAX_LINES_PER_SECOND) {
            omittedLines++;
            return false;
        }
        return true;
    }
}
