package io.damaskyoke.exchange;

/** The reasons for refusing a request, each with its HTTP status and error type. */
public enum RefusalCode {
    /** The request can't be parsed: bad JSON, bad header, missing field. */
    MALFORMED_REQUEST(400, "invalid_request_error"),
    /** The deadline is not a number, negative or zero. */
    BAD_DEADLINE(400, "invalid_request_error"),
    /** The request has no caller key. */
    KEY_MISSING(401, "authentication_error"),
    /** The caller key is unknown. */
    KEY_UNKNOWN(401, "authentication_error"),
    /** The caller key was withdrawn, possibly while the request was queued. */
    KEY_WITHDRAWN(401, "authentication_error"),
    /** No such model or adapter, or none for this workspace. */
    UNKNOWN_MODEL(404, "invalid_request_error"),
    /** No such plain service, or no such path. */
    UNKNOWN_SERVICE(404, "invalid_request_error"),
    /** The path exists, but not with this method. */
    METHOD_NOT_ALLOWED(405, "invalid_request_error"),
    /** The caller took too long to send its request. */
    REQUEST_TIMEOUT(408, "invalid_request_error"),
    /** A request with the same idempotency key is running. */
    IN_PROGRESS(409, "conflict_error"),
    /** The request of this idempotency key ran and was answered, but its answer was not kept. */
    ANSWER_NOT_KEPT(409, "conflict_error"),
    /** The body exceeds the limit of the settings. */
    BODY_TOO_LARGE(413, "invalid_request_error"),
    /** This path does not accept the content type of the body. */
    UNSUPPORTED_MEDIA_TYPE(415, "invalid_request_error"),
    /** The same idempotency key was used before with another request. */
    KEY_REUSED(422, "invalid_request_error"),
    /** The workspace has used up its rate and burst. */
    RATE_EXCEEDED(429, "rate_limit_error"),
    /** An unexpected internal error. */
    INTERNAL(500, "server_error"),
    /** The upstream gave no complete answer; the outcome may be unknown. */
    UPSTREAM_FAILED(502, "server_error"),
    /** A non-idempotent request may or may not have run. */
    OUTCOME_UNKNOWN(502, "server_error"),
    /** The deadline can't be met, so the request was not begun. */
    DEADLINE_UNREACHABLE(503, "overloaded_error"),
    /** Too many requests are queued. */
    OVERLOADED(503, "overloaded_error"),
    /** No upstream for this target is reachable. */
    NO_UPSTREAM(503, "server_error"),
    /** The load of the model failed. */
    LOAD_FAILED(503, "server_error"),
    /** The request has crashed upstreams (a poison request), so it is quarantined from all. */
    CRASHES_UPSTREAMS(503, "server_error"),
    /** This process is stopping. */
    STOPPING(503, "server_error"),
    /** This process can't confirm that its configuration is the newest. */
    CONFIGURATION_UNCONFIRMED(503, "server_error"),
    /** The part of the configuration that this request needs can't be read. */
    CONFIGURATION_UNREADABLE(503, "server_error"),
    /** The platform's store, which this request needs, is unreachable. */
    STORE_UNAVAILABLE(503, "server_error"),
    /** The deadline passed while the request waited or ran. */
    DEADLINE_EXCEEDED(504, "timeout_error");

    private final int status;
    private final String type;

    RefusalCode(int status, String type) {
        this.status = status;
        this.type = type;
    }

    /** Returns the HTTP status of the answer. */
    public int status() {
        return status;
    }

    /** Returns the {@code type} field of the OpenAI error object. */
    public String type() {
        return type;
    }

    /** Returns the code as callers see it: {@code rate_exceeded}. */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
