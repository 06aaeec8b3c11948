package io.damaskyoke.direct;

import io.damaskyoke.exchange.Refusal;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One line for each request, and no more than a bound of them a second: a flood of requests must
 * not become a flood of lines, which cost processor time when there is least of it.
 */
final class DecisionLog {
    private static final Logger LOG = LogManager.getLogger("request");
    private static final int MOST_PER_SECOND = 120;

    private final InstantSource clock;
    private Instant second = Instant.MIN;
    private int lines;
    private long leftOut;

    DecisionLog(InstantSource clock) {
        this.clock = clock;
    }

    /** What became of a request that was let in. */
    void ended(Flow flow, String outcome) {
        if (mayWrite()) {
            LOG.info("{} {}", outcome, flow.describe(clock.instant()));
        }
    }

    /** Why a request wasn't let in, and what that went by. */
    void refused(CallerRequest request, Refusal refusal, String inputs) {
        if (mayWrite()) {
            LOG.info(
                    "not let in {} {} request={} {}",
                    refusal.code().status(),
                    refusal.message(),
                    request.attempt(),
                    inputs);
        }
    }

    private boolean mayWrite() {
        Instant now = clock.instant();
        if (second.equals(Instant.MIN) || Duration.between(second, now).toSeconds() >= 1) {
            if (leftOut > 0) {
                LOG.info("left out {} lines in the second before", leftOut);
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
