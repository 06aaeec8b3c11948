package io.damaskyoke.http;

import io.damaskyoke.DamaskyokeException;

/**
 * An error of this package outside a single exchange, whose errors are a {@link ExchangeFailure}.
 */
public final class HttpException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** The cause of the error. */
    public enum Code {
        /** The server can't listen on the address. */
        BIND_FAILED,
        /** The text is not a valid host and port. */
        BAD_ENDPOINT
    }

    HttpException(Code code, String message) {
        super(code, message, null);
    }

    HttpException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
