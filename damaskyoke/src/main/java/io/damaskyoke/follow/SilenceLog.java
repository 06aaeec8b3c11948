package io.damaskyoke.follow;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Logs once when a follower's calls are no longer answered, and once when they are again. */
final class SilenceLog {
    private static final Logger LOG = LogManager.getLogger(SilenceLog.class);

    private final String name;
    private boolean silent;

    SilenceLog(String name) {
        this.name = name;
    }

    /**
     * Records that a call was not answered, or failed.
     *
     * @param callAge the time since the call was sent
     * @param viewAgeMillis the age of the view; -1 if there is none
     */
    void unanswered(String why, Duration callAge, long revision, long viewAgeMillis) {
        if (silent) {
            return;
        }
        silent = true;
        LOG.info(
                "no update of {}: call sent {} ms ago at revision {}: {}; view is {} ms old",
                name,
                callAge.toMillis(),
                revision,
                why,
                viewAgeMillis);
    }

    /**
     * Records an answer.
     *
     * @param source the kind of call that was answered
     */
    void answered(Object source, Duration callAge, long revision, long viewAgeMillis) {
        if (!silent) {
            return;
        }
        silent = false;
        LOG.info(
                "updates of {} resumed: revision {} by {}, call sent {} ms ago, view was {} ms old",
                name,
                revision,
                source,
                callAge.toMillis(),
                viewAgeMillis);
    }
}
