package io.damaskyoke.direct;

import io.damaskyoke.DamaskyokeException;

/** Reports why a direct router cannot start, read its input or answer; the code names the case. */
public final class DirectException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** Names the kinds of failure. */
    public enum Code {
        /** The router cannot listen on its address, or was stopped while it started. */
        START_FAILED,
        /** A stored value or a message cannot be parsed or is not valid. */
        MALFORMED,
        /** The store cannot be read now, so the list of routers may be out of date. */
        LIST_OUT_OF_DATE
    }

    /** Creates an exception without a cause. */
    public DirectException(Code code, String message) {
        super(code, message, null);
    }

    /** Creates an exception with the error of the layer below as its cause. */
    public DirectException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
