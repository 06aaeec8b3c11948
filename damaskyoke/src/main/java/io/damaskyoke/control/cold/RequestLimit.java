package io.damaskyoke.control.cold;

/**
 * What an answer says about the number of requests that its upstream takes: {@code
 * RequestLimit.named(1.6)}.
 *
 * @param perSecond requests per second from all routers together; without meaning unless declared
 */
public record RequestLimit(Kind kind, double perSecond) {
    /** The kinds of statement that an answer can make. */
    public enum Kind {
        /** The answer says nothing, or is not known to come from the upstream itself. */
        NOTHING,
        /** The upstream has no limit. */
        NO_LIMIT,
        /** The upstream declares a limit. */
        NAMED,
        /** The upstream declares an invalid limit. */
        UNREADABLE
    }

    /** No statement about a limit. */
    public static final RequestLimit NOTHING = new RequestLimit(Kind.NOTHING, 0);

    /** The upstream has no limit. */
    public static final RequestLimit NO_LIMIT = new RequestLimit(Kind.NO_LIMIT, 0);

    /** An invalid limit. */
    public static final RequestLimit UNREADABLE = new RequestLimit(Kind.UNREADABLE, 0);

    /**
     * Returns a limit in requests per second; {@link #UNREADABLE} if it is negative or not a finite
     * number.
     */
    public static RequestLimit declared(double perSecond) {
        boolean readable = Double.isFinite(perSecond) && perSecond >= 0;
        return readable ? new RequestLimit(Kind.NAMED, perSecond) : UNREADABLE;
    }

    /** Returns true if a limit is declared. */
    public boolean isDeclared() {
        return kind == Kind.NAMED;
    }
}
