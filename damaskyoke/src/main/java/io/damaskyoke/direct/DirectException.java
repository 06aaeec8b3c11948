package io.damaskyoke.direct;

import io.damaskyoke.DamaskyokeException;

/** Says why a direct router can't do what it was asked. */
public final class DirectException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** The reasons. */
    public enum Code {
        /** The router can't listen, or was stopped while it started. */
        START_FAILED,
        /** A stored value or a message doesn't have the form that it should. */
        MALFORMED,
        /** The store can't be followed now, so the list of routers may be out of date. */
        LIST_OUT_OF_DATE
    }

    /** With no cause below. */
    public DirectException(Code code, String message) {
        super(code, message, null);
    }

    /** With the error of the layer below. */
    public DirectException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
