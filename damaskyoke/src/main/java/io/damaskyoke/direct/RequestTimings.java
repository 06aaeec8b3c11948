package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.http.AnswerPlace;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Records when a request was sent and when the parts of its answer came, for the request log.
 *
 * <p>They show whether a late answer waited for its model, for the upstream's first part, or
 * between two parts.
 */
final class RequestTimings {
    private final Instant arrivedAt;
    private UpstreamId upstream;
    private Instant sentAt;
    private Instant firstPartAt;
    private Instant lastPartAt;
    private Duration longestPause = Duration.ZERO;
    private final List<AnswerPlace> answers = new ArrayList<>();

    RequestTimings(Instant arrivedAt) {
        this.arrivedAt = arrivedAt;
    }

    /** Records that the request was sent, for the first time or as a retry. */
    void recordSent(UpstreamId to, Instant now) {
        upstream = to;
        sentAt = now;
    }

    /** Records where the answer to the last send began. */
    void recordAnswer(AnswerPlace place) {
        answers.add(place);
    }

    /** Records that a part of the answer is forwarded to the caller. */
    void recordPart(Instant now) {
        if (firstPartAt == null) {
            firstPartAt = now;
        } else {
            Duration pause = Duration.between(lastPartAt, now);
            longestPause = pause.compareTo(longestPause) > 0 ? pause : longestPause;
        }
        lastPartAt = now;
    }

    /**
     * Appends the upstream and the times in milliseconds since the request's first byte: now, the
     * last send and the first part, and the longest pause between two parts; and where the answers
     * to its sends came, in the order of the sends that were answered.
     */
    void appendTo(StringBuilder text, Instant now) {
        text.append(" ms=").append(millisSinceArrival(now));
        if (sentAt != null) {
            text.append(" upstream=").append(upstream);
            text.append(" sent_ms=").append(millisSinceArrival(sentAt));
        }
        if (firstPartAt != null) {
            text.append(" first_ms=").append(millisSinceArrival(firstPartAt));
            text.append(" pause_ms=").append(longestPause.toMillis());
        }
        if (!answers.isEmpty()) {
            text.append(" answers=").append(answers);
        }
    }

    private long millisSinceArrival(Instant at) {
        return Duration.between(arrivedAt, at).toMillis();
    }
}
