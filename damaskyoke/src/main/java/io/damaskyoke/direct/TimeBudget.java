package io.damaskyoke.direct;

import io.damaskyoke.control.direct.Route;
import io.damaskyoke.control.direct.RouteKind;
import io.damaskyoke.control.rates.WaitLimits;
import java.time.Duration;
import java.util.Optional;

/**
 * Computes the time limits of a request from its route and its caller's deadline: in total, before
 * it is sent, and between two received parts of its answer.
 */
final class TimeBudget {
    /**
     * The fraction of the time a caller waits for an event that may pass before a request is sent.
     */
    private static final double EVENT_WAIT_FRACTION = 0.8;

    /** The fraction of the total time that may pass before a request is sent. */
    private static final double SEND_TIME_FRACTION = 0.6;

    /**
     * The fraction of its time that a repeatable request waits for an answer before a retry gets
     * the rest. Callers of plain services have little time.
     */
    private static final double FIRST_ATTEMPT_FRACTION = 0.45;

    /** Idle timeout of a stream, whose events come some ten milliseconds apart. */
    private static final Duration STREAM_IDLE_TIMEOUT = Duration.ofMillis(1_500);

    /** The usual time from sending a request to the first part of its stream. */
    private static final Duration TYPICAL_FIRST_PART_TIME = Duration.ofMillis(200);

    /** The fraction of the objective that may pass before a request has its tokens. */
    private static final double TOKEN_OBJECTIVE_FRACTION = 0.5;

    /**
     * How many times the objective a request waits for tokens that are certain to come, as a late
     * answer is better than a refusal.
     */
    private static final int MAX_TOKEN_WAIT_OBJECTIVES = 3;

    /** The fraction of the total time that may pass before a request has its tokens. */
    private static final double TOKEN_TIME_FRACTION = 0.3;

    /** The fraction of the objective that must remain for a send to be of any use. */
    private static final double MIN_OBJECTIVE_FRACTION = 0.1;

    /** Longest wait for tokens, shorter than the lifetime of a token transfer. */
    private static final Duration MAX_TOKEN_WAIT = Duration.ofMillis(1_800);

    private final Route route;
    private final Duration total;

    TimeBudget(Route route, Optional<Duration> deadline) {
        Duration requested = deadline.orElse(route.timeout());
        this.route = route;
        this.total = requested.compareTo(route.timeout()) < 0 ? requested : route.timeout();
    }

    /** Returns the time from the request's first byte to the end of its answer. */
    Duration total() {
        return total;
    }

    /** Returns the time after which a request that was not sent is refused. */
    Duration maxTimeBeforeSend() {
        Duration byTime = fractionOf(total, SEND_TIME_FRACTION);
        if (route.kind() != RouteKind.STREAMING) {
            return byTime;
        }
        Duration byEventWait = fractionOf(route.maxEventWait(), EVENT_WAIT_FRACTION);
        return byEventWait.compareTo(byTime) < 0 ? byEventWait : byTime;
    }

    /** Returns the time within which a request must be sent to usually meet its objective. */
    Duration onTimeBeforeSend() {
        return subtractOrZero(route.objective(), TYPICAL_FIRST_PART_TIME);
    }

    /**
     * Returns false if so little time remains that the upstream would run the request for nothing.
     * A delayed thread may process a request when its caller's time is up.
     */
    boolean allowsSending(Duration remaining) {
        return remaining.compareTo(fractionOf(route.objective(), MIN_OBJECTIVE_FRACTION)) > 0;
    }

    /** Returns how long a request may wait for tokens, {@code age} after its first byte. */
    WaitLimits tokenWaitLimits(Duration age) {
        Duration onTime = fractionOf(route.objective(), TOKEN_OBJECTIVE_FRACTION);
        Duration byTime = fractionOf(total, TOKEN_TIME_FRACTION);
        Duration longest = route.objective().multipliedBy(MAX_TOKEN_WAIT_OBJECTIVES);
        longest = longest.compareTo(byTime) < 0 ? longest : byTime;
        longest = longest.compareTo(MAX_TOKEN_WAIT) < 0 ? longest : MAX_TOKEN_WAIT;
        return new WaitLimits(subtractOrZero(onTime, age), subtractOrZero(longest, age));
    }

    private static Duration subtractOrZero(Duration limit, Duration age) {
        return limit.compareTo(age) > 0 ? limit.minus(age) : Duration.ZERO;
    }

    /**
     * Returns the idle timeout, after which an attempt at a silent upstream is abandoned.
     *
     * @param answerStarted whether the answer has started
     * @param retryPossible whether a retry is possible
     */
    Duration idleTimeout(boolean answerStarted, boolean retryPossible) {
        if (route.kind() == RouteKind.STREAMING && route.isRepeatable()) {
            return answerStarted
                    ? STREAM_IDLE_TIMEOUT
                    : STREAM_IDLE_TIMEOUT.plus(route.objective());
        }
        return route.isRepeatable() && retryPossible
                ? fractionOf(total, FIRST_ATTEMPT_FRACTION)
                : total;
    }

    private static Duration fractionOf(Duration time, double fraction) {
        return Duration.ofNanos((long) (time.toNanos() * fraction));
    }
}
