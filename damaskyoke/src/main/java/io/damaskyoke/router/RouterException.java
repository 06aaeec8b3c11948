package io.damaskyoke.router;

import io.damaskyoke.DamaskyokeException;

/** Says that a router could not do what was asked of it. */
public final class RouterException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** What went wrong. */
    public enum Code {
        /** No agent is known on that VM. */
        UNKNOWN_AGENT,
        /** The router could not start. */
        START_FAILED
    }

    public RouterException(Code code, String message) {
        super(code, message, null);
    }

    public RouterException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
