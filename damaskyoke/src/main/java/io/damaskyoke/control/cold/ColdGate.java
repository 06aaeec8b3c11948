package io.damaskyoke.control.cold;

import java.time.Duration;
import java.time.Instant;
import java.util.function.IntSupplier;

/**
 * Decides whether one upstream, which may be cold, may get another request now: {@code
 * gate.hasCapacity(share, now)}.
 *
 * <p>An upstream's own report that it is cold arrives late, by a heartbeat and the list's delay.
 * Upstreams that restart together after a power failure would get the requests queued for them at
 * all routers before that report arrives. So an upstream counts as cold from the first failed
 * connection on, here or at another router. It counts as warm again when, after its first answer,
 * the time has passed for which a started upstream is cold, or when the list reports it warm later
 * than the list may lag.
 *
 * <p>An upstream that this router has not used recently may have crashed and restarted unnoticed.
 * Its rate is raised gradually, in step with its answers.
 */
public final class ColdGate {
    /**
     * Maximum age of an entry: a heartbeat, and the delay of the list at a router behind a relay.
     */
    private static final Duration MAX_ENTRY_AGE = Duration.ofSeconds(2);

    /** Requests per second to an upstream that was not used recently. */
    private static final int UNUSED_PER_SECOND = 2;

    /** Requests per second to an upstream that answers, on top of its growth. */
    private static final int EXTRA_PER_SECOND = 3;

    /** Maximum ratio of the requests in a second to the answers in the second before. */
    private static final double MAX_GROWTH = 1.5;

    /** A second, with an allowance for requests that get closer to each other on their way. */
    private static final Duration SECOND = Duration.ofMillis(1_050);

    private final SendWindow sends = new SendWindow();
    private final AnswerWindow answers = new AnswerWindow();
    private ColdLimit limit = ColdLimit.NONE;
    private State state = State.VERIFIED;
    private Instant unverifiedSince = Instant.MIN;
    private Instant coldUntil = Instant.MIN;

    private enum State {
        /** The known state can be relied on. */
        VERIFIED,
        /** This router has just started and knows only an entry that may be out of date. */
        UNVERIFIED,
        /** The upstream can't be reached or broke a connection, and has answered nothing since. */
        CONNECTION_LOST
    }

    /** Sets the limit for cold upstreams of its service. */
    public void setLimit(ColdLimit given) {
        limit = given;
    }

    /** Returns the limit for cold upstreams of its service. */
    public ColdLimit limit() {
        return limit;
    }

    /**
     * Takes the upstream's own report.
     *
     * @param remainingColdTime how much longer it is cold; zero if it is warm
     */
    public void upstreamReported(Duration remainingColdTime, Instant now) {
        if (!remainingColdTime.isZero()) {
            extendColdTime(remainingColdTime, now);
        } else if (!unverifiedSince.equals(Instant.MIN)
                && !now.isBefore(unverifiedSince.plus(MAX_ENTRY_AGE))) {
            state = State.VERIFIED;
            unverifiedSince = Instant.MIN;
            coldUntil = now;
        }
    }

    /** Records that the upstream may have become cold now, without a report. */
    public void markPossiblyCold(Instant now) {
        unverifiedSince = now;
        extendColdTime(limit.duration(), now);
    }

    /**
     * Records that only an entry is known of the upstream, which may be of an earlier incarnation.
     */
    public void markUnverified(Instant now) {
        state = State.UNVERIFIED;
        unverifiedSince = now;
    }

    /**
     * Records that the upstream can't be reached or broke a connection, here or at another router:
     * it may have crashed.
     *
     * @return true if this is new and is to be announced to other routers
     */
    public boolean connectionLost(Instant now) {
        boolean newlyLost = state != State.CONNECTION_LOST && !limit.isNone();
        state = State.CONNECTION_LOST;
        unverifiedSince = now;
        answers.clear();
        return newlyLost;
    }

    /** Records an answer; an upstream that was lost may have started just now. */
    public void answerReceived(Instant now) {
        if (limit.isNone()) {
            return;
        }
        answers.add(now);
        if (state != State.VERIFIED) {
            state = State.VERIFIED;
            markPossiblyCold(now);
        }
    }

    /** Returns true if the upstream counts as cold. */
    public boolean isCold(Instant now) {
        return switch (state) {
            case CONNECTION_LOST -> true;
            case UNVERIFIED ->
                    now.isBefore(unverifiedSince.plus(MAX_ENTRY_AGE).plus(limit.duration()));
            case VERIFIED -> now.isBefore(coldUntil);
        };
    }

    /**
     * Returns true if the upstream may get one more request. This router's share for a cold
     * upstream may always be used. The share is computed only where it matters: in a large fleet
     * that reads the names of all routers.
     *
     * @param share supplies this router's share, in requests per second
     */
    public boolean hasCapacity(IntSupplier share, Instant now) {
        if (limit.isNone()) {
            return true;
        }
        int sent = sends.count(SECOND, now);
        return !isCold(now) && sent < maxWarmRequests(now) || sent < share.getAsInt();
    }

    private double maxWarmRequests(Instant now) {
        int answered = answers.count(now);
        return answered == 0 ? UNUSED_PER_SECOND : EXTRA_PER_SECOND + MAX_GROWTH * answered;
    }

    /** Records that a request is about to be sent. */
    public void sendStarted() {
        sends.sendStarted();
    }

    /** Records that the request was sent. */
    public void requestSent(Instant now) {
        sends.requestSent(now);
        sends.count(SECOND, now);
    }

    /** Records that the request will not be sent. */
    public void sendCanceled() {
        sends.sendCanceled();
    }

    private void extendColdTime(Duration time, Instant now) {
        Instant until = now.plus(time);
        if (until.isAfter(coldUntil)) {
            coldUntil = until;
        }
    }
}
