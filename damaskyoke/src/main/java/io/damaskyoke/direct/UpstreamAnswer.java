package io.damaskyoke.direct;

import io.damaskyoke.control.cold.RequestLimit;
import io.damaskyoke.control.upstreams.LoadReport;
import java.util.Optional;

/**
 * The status and the fields that a router reads from the headers of an upstream's answer.
 *
 * @param status the HTTP status
 * @param notRun whether the upstream confirms that it has not run the request and will not
 * @param misdirected whether another upstream than the addressed one answered, or the addressed one
 *     lacks the model
 * @param sealed whether the answer has the upstream's seal, without which no success is accepted
 * @param contentEncoded whether the body has a content encoding, so that it is not as the upstream
 *     made it
 * @param load the load that the upstream reports, if it does
 * @param invalidLoadFigures number of the figures of its load that make no sense and are ignored
 * @param limit the limit on concurrent requests that the upstream declares
 */
public record UpstreamAnswer(
        int status,
        boolean notRun,
        boolean misdirected,
        boolean sealed,
        boolean contentEncoded,
        Optional<LoadReport> load,
        int invalidLoadFigures,
        RequestLimit limit) {
    /** Returns true for a 2xx status, which callers take as a success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
