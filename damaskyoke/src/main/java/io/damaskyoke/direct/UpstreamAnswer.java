package io.damaskyoke.direct;

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
 * @param statements what the answer says about its upstream
 */
public record UpstreamAnswer(
        int status,
        boolean notRun,
        boolean misdirected,
        boolean sealed,
        boolean contentEncoded,
        UpstreamStatements statements) {
    /** Returns true for a 2xx status, which callers take as a success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
