package io.damaskyoke.control.cold;

import io.damaskyoke.control.upstreams.UpstreamId;
import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether an upstream that declares how many requests per second it takes may get one more:
 * {@code gate.hasCapacity(upstream, share, now)}.
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
    private static final Duration MIN_WINDOW = Duration.ofSeconds(4);

    /** Requests that are sent this much further apart may still arrive within the window. */
    private static final Duration MAX_DELAY_SPREAD = Duration.ofMillis(150);

    /**
     * A limit expires if it is not declared again within this time: its upstream answers nobody.
     */
    private static final Duration LIMIT_EXPIRY = Duration.ofSeconds(30);

    private static final double MILLIS_PER_SECOND = 1_000;

    private final SendWindow sends = new SendWindow();
    private RequestLimit limit = RequestLimit.NO_LIMIT;
    private Instant declaredAt = Instant.MIN;
    private Instant liftedAt = Instant.MIN;
    private long heldBackCount;
    private boolean invalidSeen;

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
        if (given.kind() != RequestLimit.Kind.NO_LIMIT
                || !isLimited(now)
                || !at.isAfter(declaredAt)) {
            return false;
        }
        liftedAt = at;
        limit = RequestLimit.NO_LIMIT;
        return true;
    }

    private boolean applyDeclared(RequestLimit given, Instant at, Instant now) {
        if (!at.isAfter(liftedAt) || at.isBefore(declaredAt)) {
            return false;
        }
        boolean changed = !isLimited(now) || !given.equals(limit);
        limit = given;
        declaredAt = at;
        return changed;
    }

    /** Records that the upstream declared an invalid limit; returns true the first time. */
    public boolean markInvalid() {
        boolean firstTime = !invalidSeen;
        invalidSeen = true;
        return firstTime;
    }

    /** Discards the limit, as a new incarnation of the upstream has started. */
    public void reset() {
        limit = RequestLimit.NO_LIMIT;
    }

    /** Returns true if a limit applies. */
    public boolean isLimited(Instant now) {
        return limit.isDeclared() && now.isBefore(declaredAt.plus(LIMIT_EXPIRY));
    }

    /** Returns the last limit, which may have expired. */
    public RequestLimit limit() {
        return limit;
    }

    /** Returns when the limit was last received. */
    public Instant declaredAt() {
        return declaredAt;
    }

    /** Returns when the request was sent whose answer lifted the last limit. */
    public Instant liftedAt() {
        return liftedAt;
    }

    /** Returns how often a request was held back by the limit. */
    public long heldBackCount() {
        return heldBackCount;
    }

    /** Returns true if this router may send one more request to the upstream now. */
    public boolean hasCapacity(UpstreamId upstream, UpstreamShare share, Instant now) {
        if (!isLimited(now)) {
            return true;
        }
        Duration window = window();
        double all = Math.floor(limit.perSecond() * window.toMillis() / MILLIS_PER_SECOND);
        boolean admitted =
                sends.count(window.plus(MAX_DELAY_SPREAD), now) < share.of(upstream, all);
        heldBackCount += admitted ? 0 : 1;
        return admitted;
    }

    // The window allows at least one request, so that the smallest limit can be used.
    private Duration window() {
        if (limit.perSecond() == 0) {
            return MIN_WINDOW;
        }
        Duration one = Duration.ofMillis((long) Math.ceil(MILLIS_PER_SECOND / limit.perSecond()));
        return one.compareTo(MIN_WINDOW) > 0 ? one : MIN_WINDOW;
    }

    /** Records that a request is about to be sent. */
    public void sendStarted() {
        sends.sendStarted();
    }

    /** Records that the request was sent. */
    public void requestSent(Instant now) {
        sends.requestSent(now);
        if (!isLimited(now)) {
            sends.clear();
        }
    }

    /** Records that the request will not be sent. */
    public void sendCanceled() {
        sends.sendCanceled();
    }
}
