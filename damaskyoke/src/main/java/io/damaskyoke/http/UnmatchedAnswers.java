package io.damaskyoke.http;

import io.damaskyoke.metrics.Metrics;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Counts the responses that belong to no request, by server and by reason. */
final class UnmatchedAnswers {
    private static final Logger LOG = LogManager.getLogger(UnmatchedAnswers.class);

    private final Metrics metrics;
    private final Map<Endpoint, Long> counts = new HashMap<>();

    UnmatchedAnswers(Metrics metrics) {
        this.metrics = metrics;
    }

    /** Counts a response; the first, second, fourth, eighth and so on of a server is logged. */
    void record(Endpoint from, UnmatchedAnswer reason, AnswerPlace place) {
        metrics.count("http_unmatched_answers", "server", from.toString());
        metrics.count("http_unmatched_reasons", "reason", name(reason));
        long count = counts.merge(from, 1L, Long::sum);
        if (Long.bitCount(count) == 1) {
            LOG.warn(
                    "answer discarded server={} reason={} place={} count={}",
                    from,
                    name(reason),
                    place,
                    count);
        }
    }

    /** Starts anew for a server whose address another one may be given. */
    void forget(Endpoint gone) {
        counts.remove(gone);
    }

    private static String name(UnmatchedAnswer reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }
}
