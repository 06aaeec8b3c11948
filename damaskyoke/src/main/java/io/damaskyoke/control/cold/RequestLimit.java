package io.damaskyoke.control.cold;

/**
 * What an answer says of the requests that its upstream takes: {@code RequestLimit.named(1.6)}.
 *
 * @param perSecond requests a second from all routers together; of no meaning unless named
 */
public record RequestLimit(Kind kind, double perSecond) {
    /** What an answer can say. */
    public enum Kind {
        /** It is not known to be the upstream's own, or tells nothing. */
        NOTHING,
        /** The upstream takes as many as ever. */
        NO_LIMIT,
        /** The upstream takes so many. */
        NAMED,
        /** It names something that is no limit. */
        UNREADABLE
    }

    /** An answer that tells nothing. */
    public static final RequestLimit NOTHING = new RequestLimit(Kind.NOTHING, 0);

    /** The upstream takes as many as ever. */
    public static final RequestLimit NO_LIMIT = new RequestLimit(Kind.NO_LIMIT, 0);

    /** A limit that can't be read. */
    public static final RequestLimit UNREADABLE = new RequestLimit(Kind.UNREADABLE, 0);

    /** A limit in requests a second; unreadable if it is negative or no number. */
    public static RequestLimit named(double perSecond) {
        boolean readable = Double.isFinite(perSecond) && perSecond >= 0;
        return readable ? new RequestLimit(Kind.NAMED, perSecond) : UNREADABLE;
    }

    /** True if it names a limit. */
    public boolean isNamed() {
        return kind == Kind.NAMED;
    }
}
