package io.damaskyoke.control.cold;

import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether an upstream that names how many requests a second it takes may get one more:
 * {@code gate.room(upstream, share, now)}.
 *
 * <p>A limit is often below one request a second and router, so parts are counted over some
 * seconds: all routers together send no more in any such time than the limit allows, whatever each
 * of them knows of the others.
 *
 * <p>Answers overtake each other, and those to requests from before the limit was named come after
 * it is known. So a limit ends only by an answer to a request that left after it was last named.
 */
public final class LimitGate {
    /** Parts are counted over this time at least. */
    private static final Duration LEAST_WINDOW = Duration.ofSeconds(4);

    /** Requests that leave so far apart may arrive within the window. */
    private static final Duration LATENESS = Duration.ofMillis(150);

    /** A limit of which nothing is heard for so long is over: its upstream answers nobody. */
    private static final Duration LAPSE = Duration.ofSeconds(30);

    private static final double MILLIS = 1_000;

    private final SendWindow sent = new SendWindow();
    private RequestLimit limit = RequestLimit.NO_LIMIT;
    private Instant namedAt = Instant.MIN;
    private Instant endedAt = Instant.MIN;
    private long heldBack;
    private boolean unreadable;

    /**
     * Takes in what an answer, here or at another router, says of the limit.
     *
     * @param at for a limit that is named when that was heard, for the end of one when the request
     *     left whose answer lacked it
     * @return true if it changes what is known, so that others should be told
     */
    public boolean heard(RequestLimit given, Instant at, Instant now) {
        if (given.isNamed()) {
            return named(given, at, now);
        }
        if (given.kind() != RequestLimit.Kind.NO_LIMIT || !limited(now) || !at.isAfter(namedAt)) {
            return false;
        }
        endedAt = at;
        limit = RequestLimit.NO_LIMIT;
        return true;
    }

    private boolean named(RequestLimit given, Instant at, Instant now) {
        if (!at.isAfter(endedAt) || at.isBefore(namedAt)) {
            return false;
        }
        boolean news = !limited(now) || !given.equals(limit);
        limit = given;
        namedAt = at;
        return news;
    }

    /** It has named something that is no limit; true the first time. */
    public boolean firstUnreadable() {
        boolean first = !unreadable;
        unreadable = true;
        return first;
    }

    /** The upstream has begun another life, of which nothing is known. */
    public void forget() {
        limit = RequestLimit.NO_LIMIT;
    }

    /** True if it takes only so many. */
    public boolean limited(Instant now) {
        return limit.isNamed() && now.isBefore(namedAt.plus(LAPSE));
    }

    /** What it last said. */
    public RequestLimit limit() {
        return limit;
    }

    /** When it was last heard to name its limit. */
    public Instant namedAt() {
        return namedAt;
    }

    /** When the request left whose answer ended its last limit. */
    public Instant endedAt() {
        return endedAt;
    }

    /** How often a request was kept from it. */
    public long heldBack() {
        return heldBack;
    }

    /** True if this router may send one more request there now. */
    public boolean room(UpstreamId upstream, UpstreamShare share, Instant now) {
        if (!limited(now)) {
            return true;
        }
        Duration window = window();
        double all = Math.floor(limit.perSecond() * window.toMillis() / MILLIS);
        boolean room = sent.count(window.plus(LATENESS), now) < share.of(upstream, all);
        heldBack += room ? 0 : 1;
        return room;
    }

    // Long enough for one request at least, so that the smallest limit is used.
    private Duration window() {
        if (limit.perSecond() == 0) {
            return LEAST_WINDOW;
        }
        Duration one = Duration.ofMillis((long) Math.ceil(MILLIS / limit.perSecond()));
        return one.compareTo(LEAST_WINDOW) > 0 ? one : LEAST_WINDOW;
    }

    /** A request is about to leave for it. */
    public void begins() {
        sent.begins();
    }

    /** The request has left. */
    public void leaves(Instant now) {
        sent.leaves(now);
        if (!limited(now)) {
            sent.clear();
        }
    }

    /** The request will not leave. */
    public void calledOff() {
        sent.calledOff();
    }
}
