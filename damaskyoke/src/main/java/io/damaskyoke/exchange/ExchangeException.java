package io.damaskyoke.exchange;

import io.damaskyoke.DamaskyokeException;

/** Thrown when an answer is cut off after it has begun. */
public final class ExchangeException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** The reason why an answer was cut off. */
    public enum Code {
        /** The connection to the peer closed in the middle. */
        CONNECTION_LOST,
        /** The upstream cut off its answer. */
        UPSTREAM_CUT,
        /** Frames are missing or do not add up to the announced total. */
        INCOMPLETE,
        /** The deadline passed in the middle of the answer. */
        DEADLINE_EXCEEDED,
        /** The key was withdrawn, or the process was forced to stop. */
        REVOKED
    }

    public ExchangeException(Code code, String message) {
        super(code, message, null);
    }

    public ExchangeException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
