package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.time.Instant;

/**
 * When a request was sent and its answer came, for its line in the log: whether a late answer
 * waited for its model, for its upstream's first part, or between two parts.
 */
final class FlowTimes {
    private final Instant began;
    private UpstreamId upstream;
    private Instant sentAt;
    private Instant firstAt;
    private Instant partAt;
    private Duration longestPause = Duration.ZERO;

    FlowTimes(Instant began) {
        this.began = began;
    }

    /** It was sent, or sent once more. */
    void sent(UpstreamId to, Instant now) {
        upstream = to;
        sentAt = now;
    }

    /** A part of its answer goes to the caller. */
    void part(Instant now) {
        if (firstAt == null) {
            firstAt = now;
        } else {
            Duration pause = Duration.between(partAt, now);
            longestPause = pause.compareTo(longestPause) > 0 ? pause : longestPause;
        }
        partAt = now;
    }

    /** Adds milliseconds since its first byte: to now, to the last send, to the first part. */
    void describe(StringBuilder text, Instant now) {
        text.append(" ms=").append(millis(now));
        if (sentAt != null) {
            text.append(" upstream=").append(upstream);
            text.append(" sent_ms=").append(millis(sentAt));
        }
        if (firstAt != null) {
            text.append(" first_ms=").append(millis(firstAt));
            text.append(" pause_ms=").append(longestPause.toMillis());
        }
    }

    private long millis(Instant at) {
        return Duration.between(began, at).toMillis();
    }
}
