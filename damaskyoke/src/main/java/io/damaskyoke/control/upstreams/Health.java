package io.damaskyoke.control.upstreams;

import java.time.Duration;
import java.time.Instant;

/**
 * What real requests show of an upstream: it answers, it fails some, or it is best left alone.
 *
 * <p>Health checks can be wrong either way, so they aren't asked. After several failures on end an
 * upstream gets no requests for a while that doubles each time, then one; if that one is answered
 * it is back.
 */
final class Health {
    /** Two failures may be chance where some requests fail by themselves; three rarely are. */
    private static final int FAILURES_TO_EJECT = 3;

    private static final Duration FIRST_EJECTION = Duration.ofMillis(700);
    private static final Duration LONGEST_EJECTION = Duration.ofSeconds(5);

    /** Weight of the newest outcome in the share of failures: about the last ten count. */
    private static final double NEWEST = 0.1;

    private State state = State.SERVING;
    private int onEnd;
    private double failing;
    private Duration ejection = FIRST_EJECTION;
    private Instant until = Instant.MIN;

    private enum State {
        SERVING,
        EJECTED,
        /** One request is out to see whether the upstream is back. */
        TRYING
    }

    /** True if a request may be sent now. */
    boolean takes(Instant now) {
        return switch (state) {
            case SERVING -> true;
            case EJECTED -> !now.isBefore(until);
            case TRYING -> false;
        };
    }

    /** True if it fails, so that what only it holds is better also held elsewhere. */
    boolean suspect() {
        return state != State.SERVING;
    }

    /** The share of requests that failed of late, from 0 to 1. */
    double failing() {
        return failing;
    }

    void sent(Instant now) {
        if (state == State.EJECTED && !now.isBefore(until)) {
            state = State.TRYING;
        }
    }

    void answered() {
        failing *= 1 - NEWEST;
        onEnd = 0;
        if (state != State.SERVING) {
            state = State.SERVING;
            ejection = FIRST_EJECTION;
        }
    }

    /** The request was called off, and says nothing either way. */
    void calledOff() {
        if (state == State.TRYING) {
            state = State.EJECTED;
        }
    }

    void failed(Instant now) {
        failing = failing * (1 - NEWEST) + NEWEST;
        onEnd++;
        if (state == State.TRYING || onEnd >= FAILURES_TO_EJECT) {
            state = State.EJECTED;
            until = now.plus(ejection);
            Duration doubled = ejection.multipliedBy(2);
            ejection = doubled.compareTo(LONGEST_EJECTION) > 0 ? LONGEST_EJECTION : doubled;
        }
    }
}
