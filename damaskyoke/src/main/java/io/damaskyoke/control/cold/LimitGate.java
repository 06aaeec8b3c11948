package io.damaskyoke.control.cold;

import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether an upstream that declares how many requests per second it takes may get one more:
 * {@code gate.room(upstream, share, now)}.
 *
 * <p>A limit is often below one request per second and router, so shares are counted over several
 * seconds: all routers together send no more in any such window than the limit allows, whatever
 * each of them knows of the others.
 *
 * <p>Answers overtake each other, and answers to requests sent before the limit was declared arrive
 * after it is known. So a limit is lifted only by an answer to a request that was sent after the
 * limit was last declared.
 */
public final class LimitGate {
    /** Minimum length of the window in which requests are counted. */
    private static final Duration LEAST_WINDOW = Duration.ofSeconds(4);

    /** Requests that are sent this much further apart may still arrive within the window. */
    private static final Duration LATENESS = Duration.ofMillis(150);

    /**
     * A limit expires if it is not declared again within this time: its upstream answers nobody.
     */
    private static final Duration LAPSE = Duration.ofSeconds(30);

    private static final double MILLIS = 1_000;

    private final SendWindow sent = new SendWindow();
    private RequestLimit limit = RequestLimit.NO_LIMIT;
    private Instant namedAt = Instant.MIN;
    private Instant endedAt = Instant.MIN;
    private long heldBack;
    private boolean unreadable;

    /**
     * Takes what an answer, here or at another router, says of the limit.
     *
     * @param at for a declared limit, when it was received; for a lifted one, when the request was
     *     sent whose answer declared no limit
     * @return true if this changes the known limit and is to be announced to other routers
     */
    public boolean limitReceived(RequestLimit given, Instant at, Instant now) {
        if (given.isDeclared()) {
            return applyDeclared(given, at, now);
        }
        if (given.kind() != RequestLimit.Kind.NO_LIMIT || !isLimited(now) || !at.isAfter(namedAt)) {
            return false;
        }
        endedAt = at;
        limit = RequestLimit.NO_LIMIT;
        return true;
    }

    private boolean applyDeclared(RequestLimit given, Instant at, Instant now) {
        if (!at.isAfter(endedAt) || at.isBefore(namedAt)) {
            return false;
        }
        boolean news = !isLimited(now) || !given.equals(limit);
        limit = given;
        namedAt = at;
        return news;
    }

    /** Records that the upstream declared an invalid limit; returns true the first time. */
    public boolean markUnreadable() {
        boolean first = !unreadable;
        unreadable = true;
        return first;
    }

    /** Discards the limit, as a new incarnation of the upstream has started. */
    public void reset() {
        limit = RequestLimit.NO_LIMIT;
    }

    /** Returns true if a limit applies. */
    public boolean isLimited(Instant now) {
        return limit.isDeclared() && now.isBefore(namedAt.plus(LAPSE));
    }

    /** Returns the last limit, which may have expired. */
    public RequestLimit limit() {
        return limit;
    }

    /** Returns when the limit was last received. */
    public Instant declaredAt() {
        return namedAt;
    }

    /** Returns when the request was sent whose answer lifted the last limit. */
    public Instant liftedAt() {
        return endedAt;
    }

    /** Returns how often a request was held back by the limit. */
    public long heldBackCount() {
        return heldBack;
    }

    /** Returns true if this router may send one more request to the upstream now. */
    public boolean hasCapacity(UpstreamId upstream, UpstreamShare share, Instant now) {
        if (!isLimited(now)) {
            return true;
        }
        Duration window = window();
        double all = Math.floor(limit.perSecond() * window.toMillis() / MILLIS);
        boolean room = sent.count(window.plus(LATENESS), now) < share.of(upstream, all);
        heldBack += room ? 0 : 1;
        return room;
    }

    // The window allows at least one request, so that the smallest limit can be used.
    private Duration window() {
        if (limit.perSecond() == 0) {
            return LEAST_WINDOW;
        }
        Duration one = Duration.ofMillis((long) Math.ceil(MILLIS / limit.perSecond()));
        return one.compareTo(LEAST_WINDOW) > 0 ? one : LEAST_WINDOW;
    }

    /** Records that a request is about to be sent. */
    public void sendStarted() {
        sent.sendStarted();
    }

    /** Records that the request was sent. */
    public void requestSent(Instant now) {
        sent.requestSent(now);
        if (!isLimited(now)) {
            sent.clear();
        }
    }

    /** Records that the request will not be sent. */
    public void sendCanceled() {
        sent.sendCanceled();
    }
}
