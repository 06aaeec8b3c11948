package io.damaskyoke.operator;

import io.damaskyoke.DamaskyokeException;

/** Says why an operator's request is refused, or why the endpoint can't be opened. */
public final class OperatorException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    private final transient Code code;

    /** What went wrong, with the HTTP status that goes with it. */
    public enum Code {
        /** The path, number or filter can't be read. */
        BAD_REQUEST(400),
        /** The token is missing or wrong. */
        UNAUTHORIZED(401),
        /** There is no such path or ticket here. */
        NOT_FOUND(404),
        /** The path exists, but not with this method. */
        METHOD_NOT_ALLOWED(405),
        /** The body took too long. */
        REQUEST_TIMEOUT(408),
        /** The body is larger than a ticket may be. */
        BODY_TOO_LARGE(413),
        /** The body is not JSON. */
        UNSUPPORTED_MEDIA_TYPE(415),
        /** Something failed that nobody foresaw. */
        INTERNAL(500),
        /** The port can't be opened. */
        CANNOT_LISTEN(500);

        private final int status;

        Code(int status) {
            this.status = status;
        }
    }

    public OperatorException(Code code, String message) {
        this(code, message, null);
    }

    public OperatorException(Code code, String message, Throwable cause) {
        super(code, message, cause);
        this.code = code;
    }

    /** What went wrong. */
    public Code code() {
        return code;
    }

    /** The HTTP status that goes with it. */
    public int status() {
        return code.status;
    }
}
