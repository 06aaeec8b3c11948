package io.damaskyoke.direct;

import io.damaskyoke.control.cold.RequestLimit;
import io.damaskyoke.control.upstreams.LoadReport;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.http.RetryAfter;
import java.util.Optional;

/**
 * What an answer says about the upstream that gave it, whatever it answers: a request, a stream, an
 * order or a report.
 *
 * @param from the upstream that gave the answer; empty if that is not known
 * @param load the load that the upstream reports, if it does
 * @param invalidLoadFigures number of the figures of its load that make no sense and are ignored
 * @param limit the limit on concurrent requests that the upstream declares
 * @param pause the time for which the upstream wants no requests from this router
 * @param leaving whether the upstream is about to leave
 */
public record UpstreamStatements(
        Optional<UpstreamId> from,
        Optional<LoadReport> load,
        int invalidLoadFigures,
        RequestLimit limit,
        RetryAfter pause,
        boolean leaving) {
    /** Returns true if the upstream states a pause. */
    public boolean asksForPause() {
        return pause.kind() == RetryAfter.Kind.VALID;
    }
}
