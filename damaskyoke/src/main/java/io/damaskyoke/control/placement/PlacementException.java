package io.damaskyoke.control.placement;

import io.damaskyoke.DamaskyokeException;

/** Something is wrong with the placement table. */
public final class PlacementException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** What went wrong. */
    public enum Code {
        /** A stored value is not a shard. */
        UNREADABLE,
        /** A proposed value can't be reached from the stored one. */
        ILLEGAL_CHANGE
    }

    /** Says what went wrong. */
    public PlacementException(Code code, String message) {
        super(code, message, null);
    }

    /** Says what went wrong below. */
    public PlacementException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
