package io.damaskyoke.control.upstreams;

import java.time.Duration;
import java.time.Instant;

/**
 * Circuit breaker of one incarnation of an upstream, driven by the outcomes of real requests.
 *
 * <p>Health checks can be wrong either way, so they are not used. After several consecutive
 * failures the upstream is ejected for a time that doubles with each ejection. Then it gets a
 * single request as a probe; if that is answered, the upstream gets requests again.
 *
 * <p>A probe comes only if requests wait for what the upstream holds. So an ejection also ends by
 * time and with the incarnation, and not only with a probe.
 */
final class UpstreamHealth {
    /**
     * Two consecutive failures may be chance where some requests fail by themselves; three rarely
     * are.
     */
    private static final int FAILURES_TO_EJECT = 3;

    private static final Duration FIRST_EJECTION = Duration.ofMillis(700);
    private static final Duration MAX_EJECTION = Duration.ofSeconds(5);

    /**
     * How long an upstream that may be probed still counts as ejected. A probe is sent at once if
     * any request waits for what it holds.
     */
    private static final Duration PROBE_WAIT = Duration.ofSeconds(2);

    /** Weight of the newest outcome in the moving average of failures: about the last ten count. */
    private static final double NEWEST_WEIGHT = 0.1;

    private State state = State.SERVING;
    private int consecutiveFailures;
    private double failureRate;
    private Duration ejection = FIRST_EJECTION;
    private Instant ejectedUntil = Instant.MIN;
    private Instant incarnationListedAt = Instant.MIN;

    private enum State {
        SERVING,
        EJECTED,
        /** One request is under way as a probe. */
        PROBING
    }

    /** Returns true if a request may be sent now. */
    boolean accepts(Instant now) {
        return switch (state) {
            case SERVING -> true;
            case EJECTED -> !now.isBefore(ejectedUntil);
            case PROBING -> false;
        };
    }

    /**
     * Returns true while the upstream is ejected or being probed, so that models that only it holds
     * are better loaded elsewhere too. Otherwise it may be ordered to load models.
     */
    boolean isEjected(Instant now) {
        return switch (state) {
            case SERVING -> false;
            case EJECTED -> now.isBefore(ejectedUntil.plus(PROBE_WAIT));
            case PROBING -> true;
        };
    }

    /** Forgets what the incarnation before has shown, as a new one is listed. */
    void incarnationListed(Instant now) {
        incarnationListedAt = now;
        state = State.SERVING;
        consecutiveFailures = 0;
        failureRate = 0;
        ejection = FIRST_EJECTION;
    }

    /** Returns the moving average of the failure rate, from 0 to 1. */
    double failureRate() {
        return failureRate;
    }

    void requestSent(Instant now) {
        if (state == State.EJECTED && !now.isBefore(ejectedUntil)) {
            state = State.PROBING;
        }
    }

    void requestAnswered() {
        failureRate *= 1 - NEWEST_WEIGHT;
        consecutiveFailures = 0;
        if (state != State.SERVING) {
            state = State.SERVING;
            ejection = FIRST_EJECTION;
        }
    }

    /** Records that a request ended without showing whether the upstream serves. */
    void requestUndecided() {
        if (state == State.PROBING) {
            state = State.EJECTED;
        }
    }

    /**
     * Records that a request failed.
     *
     * @param assignedAt when it was assigned to the upstream; if that was before the incarnation
     *     was listed, the failure may be of the one before
     */
    void requestFailed(Instant assignedAt, Instant now) {
        if (assignedAt.isBefore(incarnationListedAt)) {
            return;
        }
        failureRate = failureRate * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
        consecutiveFailures++;
        if (state == State.PROBING || consecutiveFailures >= FAILURES_TO_EJECT) {
            state = State.EJECTED;
            ejectedUntil = now.plus(ejection);
            Duration doubled = ejection.multipliedBy(2);
            ejection = doubled.compareTo(MAX_EJECTION) > 0 ? MAX_EJECTION : doubled;
        }
    }
}
