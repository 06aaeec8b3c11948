package io.damaskyoke.control.cold;

/**
 * What an answer says about the number of requests that its upstream takes: {@code
 * RequestLimit.declared(1.6)}.
 *
 * @param perSecond requests per second from all routers together; without meaning unless declared
 */
public record RequestLimit(Kind kind, double perSecond) {
    /** The kinds of statement that an answer can make. */
    public enum Kind {
        /** The answer says nothing, or is not known to come from the upstream itself. */
        UNSPECIFIED,
        /** The upstream has no limit. */
        NO_LIMIT,
        /** The upstream declares a limit. */
        DECLARED,
        /** The upstream declares an invalid limit. */
        INVALID
    }

    /** No statement about a limit. */
    public static final RequestLimit UNSPECIFIED = new RequestLimit(Kind.UNSPECIFIED, 0);

    /** The upstream has no limit. */
    public static final RequestLimit NO_LIMIT = new RequestLimit(Kind.NO_LIMIT, 0);

    /** An invalid limit. */
    public static final RequestLimit INVALID = new RequestLimit(Kind.INVALID, 0);

    /**
     * Returns a limit in requests per second; {@link #INVALID} if it is negative or not a finite
     * number.
     */
    public static RequestLimit declared(double perSecond) {
        boolean valid = Double.isFinite(perSecond) && perSecond >= 0;
        return valid ? new RequestLimit(Kind.DECLARED, perSecond) : INVALID;
    }

    /** Returns true if a limit is declared. */
    public boolean isDeclared() {
        return kind == Kind.DECLARED;
    }
}
