package io.damaskyoke.router;

import io.damaskyoke.DamaskyokeException;

/** Thrown when a router can't start or can't reach an agent. */
public final class RouterException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** The kind of failure. */
    public enum Code {
        /** No agent is known on the VM. */
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
