package io.damaskyoke.control.placement;

import io.damaskyoke.DamaskyokeException;

/** Thrown when the placement table holds an unreadable value or an illegal change is proposed. */
public final class PlacementException extends DamaskyokeException {
    private static final long serialVersionUID = 1L;

    /** Tells the kinds of failure apart. */
    public enum Code {
        /** A stored key or value can't be read as a shard. */
        UNREADABLE,
        /** The proposed value is not a legal successor of the stored one. */
        ILLEGAL_CHANGE
    }

    /** Creates an exception without a cause. */
    public PlacementException(Code code, String message) {
        super(code, message, null);
    }

    /** Creates an exception with the failure that caused it. */
    public PlacementException(Code code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
