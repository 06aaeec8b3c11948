package io.damaskyoke.exchange;

/** Every reason for which a caller is refused, with the HTTP status that goes with it. */
public enum RefusalCode {
    /** The request can't be read: bad JSON, bad header, missing field. */
    MALFORMED_REQUEST(400, "invalid_request_error"),
    /** The deadline is not a number, negative or zero. */
    BAD_DEADLINE(400, "invalid_request_error"),
    /** No caller key came with the request. */
    KEY_MISSING(401, "authentication_error"),
    /** The caller key is not known. */
    KEY_UNKNOWN(401, "authentication_error"),
    /** The caller key was withdrawn, perhaps while the request waited. */
    KEY_WITHDRAWN(401, "authentication_error"),
    /** No such model or adapter, or none for this workspace. */
    UNKNOWN_MODEL(404, "invalid_request_error"),
    /** No such plain service, or no such path. */
    UNKNOWN_SERVICE(404, "invalid_request_error"),
    /** The path exists, but not with this method. */
    METHOD_NOT_ALLOWED(405, "invalid_request_error"),
    /** The caller took too long to send its request. */
    REQUEST_TIMEOUT(408, "invalid_request_error"),
    /** The same idempotent key is being run right now. */
    IN_PROGRESS(409, "conflict_error"),
    /** The idempotent key's request ran and was answered, but its answer was not kept. */
    ANSWER_NOT_KEPT(409, "conflict_error"),
    /** The body exceeds the limit of the settings. */
    BODY_TOO_LARGE(413, "invalid_request_error"),
    /** The body is not of a type that this path takes. */
    UNSUPPORTED_MEDIA_TYPE(415, "invalid_request_error"),
    /** The same idempotent key came before with another request. */
    KEY_REUSED(422, "invalid_request_error"),
    /** The workspace has used up its rate and burst. */
    RATE_EXCEEDED(429, "rate_limit_error"),
    /** Something failed that nobody foresaw. */
    INTERNAL(500, "server_error"),
    /** The upstream gave no whole answer; nothing may be known of the outcome. */
    UPSTREAM_FAILED(502, "server_error"),
    /** A non-idempotent request may or may not have run. */
    OUTCOME_UNKNOWN(502, "server_error"),
    /** The deadline can't be met, so the request was not begun. */
    DEADLINE_UNREACHABLE(503, "overloaded_error"),
    /** Too much is waiting already. */
    OVERLOADED(503, "overloaded_error"),
    /** No upstream for this target can be reached now. */
    NO_UPSTREAM(503, "server_error"),
    /** The load of the model failed. */
    LOAD_FAILED(503, "server_error"),
    /** Upstreams have ended under this request, so it is kept from all of them. */
    CRASHES_UPSTREAMS(503, "server_error"),
    /** This process is stopping. */
    STOPPING(503, "server_error"),
    /** This process can't confirm that its configuration is the newest. */
    CONFIGURATION_UNCONFIRMED(503, "server_error"),
    /** What the platform keeps can't be reached, and this request can't do without. */
    STORE_UNAVAILABLE(503, "server_error"),
    /** The deadline passed while the request waited or ran. */
    DEADLINE_EXCEEDED(504, "timeout_error");

    private final int status;
    private final String type;

    RefusalCode(int status, String type) {
        this.status = status;
        this.type = type;
    }

    /** The HTTP status of the answer. */
    public int status() {
        return status;
    }

    /** The {@code type} field of the OpenAI error object. */
    public String type() {
        return type;
    }

    /** The code as callers see it: {@code rate_exceeded}. */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
