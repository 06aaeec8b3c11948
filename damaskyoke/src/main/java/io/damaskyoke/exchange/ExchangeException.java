package io.damaskyoke.exchange;

import io.damaskyoke.DamaskyokeException;

/** Says that an answer broke off after it had begun. */
public final class ExchangeException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** How an answer can break off. */
    public enum Code {
        /** The connection to the peer went away in the middle. */
        CONNECTION_LOST,
        /** The upstream broke off. */
        UPSTREAM_CUT,
        /** Frames are missing or do not add up to the announced total. */
        INCOMPLETE,
        /** The deadline passed in the middle of the answer. */
        DEADLINE_EXCEEDED,
        /** The key was withdrawn, or the process was made to stop. */
        REVOKED
    }

    public ExchangeException(Code code, String message) {
        super(code, message, null);
    }

    public ExchangeException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
