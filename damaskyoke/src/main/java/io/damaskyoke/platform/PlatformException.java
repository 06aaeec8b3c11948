package io.damaskyoke.platform;

import io.damaskyoke.DamaskyokeException;

/** Says that one of the platform's services did not do what was asked. */
public final class PlatformException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    private final transient Code code;

    /** What went wrong. */
    public enum Code {
        /** The call had no effect: refused, or never sent. */
        UNAVAILABLE,
        /** A write may or may not have taken effect. */
        OUTCOME_UNKNOWN,
        /** The answer can't be read. */
        BAD_ANSWER,
        /** The answer is larger than any that is read; a listing comes in pages. */
        TOO_LARGE,
        /** The revision asked for is no longer kept; list again. */
        COMPACTED
    }

    public PlatformException(Code code, String message) {
        this(code, message, null);
    }

    public PlatformException(Code code, String message, Throwable cause) {
        super(code, message, cause);
        this.code = code;
    }

    /** What went wrong. */
    public Code code() {
        return code;
    }
}
