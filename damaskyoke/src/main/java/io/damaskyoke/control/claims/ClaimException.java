package io.damaskyoke.control.claims;

import io.damaskyoke.DamaskyokeException;

/** Thrown when a claim can't be read or written in its stored form. */
public final class ClaimException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** The kind of failure. */
    public enum Code {
        /** The bytes are not the JSON of a claim. */
        UNREADABLE
    }

    public ClaimException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
