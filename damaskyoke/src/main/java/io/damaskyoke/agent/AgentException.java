package io.damaskyoke.agent;

import io.damaskyoke.DamaskyokeException;

/** Says that an agent could not do what was asked of it. */
public final class AgentException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** What went wrong. */
    public enum Code {
        /** The agent could not start. */
        START_FAILED
    }

    public AgentException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
