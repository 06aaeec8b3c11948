package io.damaskyoke.control.cold;

import java.time.Duration;
import java.time.Instant;
import java.util.function.IntSupplier;

/**
 * Decides whether one upstream may get another request now, as it may be cold: {@code
 * gate.room(share, now)}.
 *
 * <p>An upstream's own word that it is cold comes a heartbeat and the list's lag late. Those that
 * come back together after a loss of power get what has waited for them at all routers, before that
 * word is there. So an upstream counts as cold from the first failed connection on, here or at
 * another router, until, after its first answer, the time has passed in which one that has just
 * started is cold; or until the list says that it is warm, later than the list may lag.
 *
 * <p>One that this router has not used of late may have ended and started again unnoticed. It is
 * used more by degrees, in step with what it answers.
 */
public final class ColdGate {
    /** A heartbeat, and the way of the list's words to a router behind a relay. */
    private static final Duration NEWS = Duration.ofSeconds(2);

    /** What an upstream that was not used of late may get in a second. */
    private static final int UNUSED = 2;

    /** What one that answers may get in a second beyond its growth. */
    private static final int SPARE = 3;

    /** How much more than it answered in the second before it may get in one. */
    private static final double GROWTH = 1.5;

    /** Two requests a second apart may come closer to each other on their way. */
    private static final Duration SECOND = Duration.ofMillis(1_050);

    private final SendWindow window = new SendWindow();
    private final RecentAnswers answers = new RecentAnswers();
    private ColdLimit limit = ColdLimit.NONE;
    private State state = State.KNOWN;
    private Instant doubtedAt = Instant.MIN;
    private Instant coldUntil = Instant.MIN;

    private enum State {
        /** What is known of it holds. */
        KNOWN,
        /** This router has just started and goes by an entry that may be out of date. */
        UNKNOWN,
        /** It can't be reached, or broke off, and has answered nothing since. */
        LOST
    }

    /** What cold upstreams of its service bear. */
    public void limit(ColdLimit given) {
        limit = given;
    }

    /** What cold upstreams of its service bear. */
    public ColdLimit limit() {
        return limit;
    }

    /** It says itself that it stays cold for this long, or, by zero, that it is warm. */
    public void says(Duration coldLeft, Instant now) {
        if (!coldLeft.isZero()) {
            coldFor(coldLeft, now);
        } else if (!doubtedAt.equals(Instant.MIN) && !now.isBefore(doubtedAt.plus(NEWS))) {
            state = State.KNOWN;
            doubtedAt = Instant.MIN;
            coldUntil = now;
        }
    }

    /** It may have become cold now, without a word. */
    public void mayBeCold(Instant now) {
        doubtedAt = now;
        coldFor(limit.lasts(), now);
    }

    /** Nothing is known of it but an entry that may be of a life that is over. */
    public void unknown(Instant now) {
        state = State.UNKNOWN;
        doubtedAt = now;
    }

    /**
     * It can't be reached, or broke off, here or at another router: it may have ended.
     *
     * @return true if that is news, which others should be told
     */
    public boolean lost(Instant now) {
        boolean news = state != State.LOST && !limit.none();
        state = State.LOST;
        doubtedAt = now;
        answers.clear();
        return news;
    }

    /** It answers; if it was lost, it may have started just now. */
    public void answers(Instant now) {
        if (limit.none()) {
            return;
        }
        answers.add(now);
        if (state != State.KNOWN) {
            state = State.KNOWN;
            mayBeCold(now);
        }
    }

    /** True if it counts as cold. */
    public boolean cold(Instant now) {
        return switch (state) {
            case LOST -> true;
            case UNKNOWN -> now.isBefore(doubtedAt.plus(NEWS).plus(limit.lasts()));
            case KNOWN -> now.isBefore(coldUntil);
        };
    }

    /**
     * True if it may get one more request. This router's share of a cold one is always free, and
     * only asked for if it matters: in a large fleet it takes a look at all routers' names.
     */
    public boolean room(IntSupplier share, Instant now) {
        if (limit.none()) {
            return true;
        }
        int sent = window.count(SECOND, now);
        return !cold(now) && sent < warmRoom(now) || sent < share.getAsInt();
    }

    private double warmRoom(Instant now) {
        int answered = answers.count(now);
        return answered == 0 ? UNUSED : SPARE + GROWTH * answered;
    }

    /** A request is about to leave for it. */
    public void begins() {
        window.begins();
    }

    /** The request has left. */
    public void leaves(Instant now) {
        window.leaves(now);
        window.count(SECOND, now);
    }

    /** The request will not leave. */
    public void calledOff() {
        window.calledOff();
    }

    private void coldFor(Duration time, Instant now) {
        Instant until = now.plus(time);
        if (until.isAfter(coldUntil)) {
            coldUntil = until;
        }
    }
}
