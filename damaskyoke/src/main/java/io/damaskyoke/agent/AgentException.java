package io.damaskyoke.agent;

import io.damaskyoke.DamaskyokeException;

/** Thrown when an agent fails in an operation, such as its start. */
public final class AgentException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** Kinds of failure. */
    public enum Code {
        /** The agent could not start; the cause says why. */
        START_FAILED
    }

    public AgentException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
