package io.damaskyoke.control.notices;

import java.time.Duration;
import java.time.Instant;

/**
 * Knows until when an upstream wants no requests from this router: {@code gate.isPaused(now)}.
 *
 * <p>Each answer asks for a pause of its own. The end of all pauses counts, so a later and shorter
 * one takes nothing back.
 *
 * <p>After a pause all routers and all that waits at them come at once, and the upstream would have
 * to ask for the next one. So a router sends one request first, and may have one more under way
 * with each that is answered, until nothing is held back any more.
 */
public final class PauseGate {
    /** Longer pauses are shortened: a wrong figure must not close an upstream until a restart. */
    public static final Duration MAX_PAUSE = Duration.ofMinutes(10);

    private StatementOrigin origin = new StatementOrigin();
    private Instant pausedUntil = Instant.MIN;
    private boolean recovering;
    private int allowedAtOnce;
    private int underWay;
    private long sentInPause;
    private boolean invalidSeen;

    /**
     * Takes the pause that an answer asks for.
     *
     * @param startedAt start of the upstream's incarnation, in Unix milliseconds
     * @return true if there was no pause before
     */
    public boolean pauseRequested(Duration pause, long startedAt, Instant now) {
        origin.stated(startedAt, now);
        Instant until = now.plus(pause.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : pause);
        if (!until.isAfter(now)) {
            return false;
        }
        boolean isNew = !isPaused(now);
        pausedUntil = until.isAfter(pausedUntil) ? until : pausedUntil;
        recovering = true;
        allowedAtOnce = 1;
        underWay = 0;
        return isNew;
    }

    /** Records a pause whose length can't be read; returns true the first time. */
    public boolean markInvalid() {
        boolean firstTime = !invalidSeen;
        invalidSeen = true;
        return firstTime;
    }

    /** Takes the incarnation that the list states; a new one has asked for nothing yet. */
    public void incarnationListed(long startedAt, Instant now) {
        if (isPaused(now) && origin.isOutdatedBy(startedAt, now)) {
            origin = new StatementOrigin();
            pausedUntil = Instant.MIN;
            recovering = false;
        }
    }

    /**
     * Returns true if one more request may be under way to the upstream, as far as its last pause
     * is concerned.
     *
     * @param slots maximum number of requests that it runs at once
     */
    public boolean hasCapacity(int slots) {
        if (!recovering) {
            return true;
        }
        recovering = allowedAtOnce <= slots;
        return !recovering || underWay < allowedAtOnce;
    }

    /** Records that a request was assigned to the upstream, which is not paused. */
    public void requestAssigned() {
        underWay++;
    }

    /** Records that an answer to a request began that was assigned then. */
    public void requestAnswered(Instant assignedAt) {
        if (isAfterPause(assignedAt)) {
            allowedAtOnce++;
        }
    }

    /** Records that a request that was assigned then is finished, whatever its outcome. */
    public void requestFinished(Instant assignedAt) {
        if (isAfterPause(assignedAt)) {
            underWay--;
        }
    }

    private boolean isAfterPause(Instant assignedAt) {
        return recovering && !assignedAt.isBefore(pausedUntil);
    }

    /** Returns true while the upstream wants no requests. */
    public boolean isPaused(Instant now) {
        return now.isBefore(pausedUntil);
    }

    /** Returns the end of the last pause; {@code Instant.MIN} if there was none. */
    public Instant pausedUntil() {
        return pausedUntil;
    }

    /** Records that a request was sent. */
    public void requestSent(Instant now) {
        if (isPaused(now)) {
            sentInPause++;
        }
    }

    /** Returns the number of requests that were sent in pauses. */
    public long sentInPause() {
        return sentInPause;
    }
}
