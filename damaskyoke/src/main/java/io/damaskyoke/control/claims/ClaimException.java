package io.damaskyoke.control.claims;

import io.damaskyoke.DamaskyokeException;

/** Says that a claim can't be used. */
public final class ClaimException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** What is wrong with it. */
    public enum Code {
        /** It is not the JSON of a claim. */
        UNREADABLE
    }

    public ClaimException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
