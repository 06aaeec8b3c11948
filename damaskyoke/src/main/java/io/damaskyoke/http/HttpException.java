package io.damaskyoke.http;

import io.damaskyoke.DamaskyokeException;

/** What can go wrong in this package apart from a single exchange, which has {@link Failure}. */
public final class HttpException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** The reasons. */
    public enum Code {
        /** The address can't be listened on. */
        BIND_FAILED,
        /** The text names no host and port. */
        BAD_ENDPOINT
    }

    HttpException(Code code, String message) {
        super(code, message, null);
    }

    HttpException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
