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
    /** The fraction of the route's patience that may pass before a request is sent. */
    private static final double PATIENCE_PART = 0.8;

    /** The fraction of the total time that may pass before a request is sent. */
    private static final double TIME_PART = 0.6;

    /**
     * The fraction of its time that a repeatable request waits for an answer before a retry gets
     * the rest. Callers of plain services have little time.
     */
    private static final double SILENT_PART = 0.45;

    /** Idle timeout of a stream, whose events come some ten milliseconds apart. */
    private static final Duration SILENT_STREAM = Duration.ofMillis(1_500);

    /** The usual time from sending a request to the first part of its stream. */
    private static final Duration FIRST_PART = Duration.ofMillis(200);

    /** The fraction of the objective that may pass before a request has its tokens. */
    private static final double TOKENS_PART = 0.5;

    /**
     * How many times the objective a request waits for tokens that are certain to come, as a late
     * answer is better than a refusal.
     */
    private static final int TOKENS_OBJECTIVES = 3;

    /** The fraction of the total time that may pass before a request has its tokens. */
    private static final double TOKENS_TIME_PART = 0.3;

    /** The fraction of the objective that must remain for a send to be of any use. */
    private static final double LEAST_PART = 0.1;

    /** Longest wait for tokens, shorter than the lifetime of a token transfer. */
    private static final Duration LONGEST_FOR_TOKENS = Duration.ofMillis(1_800);

    private final Route route;
    private final Duration whole;

    TimeBudget(Route route, Optional<Duration> deadline) {
        Duration asked = deadline.orElse(route.timeout());
        this.route = route;
        this.whole = asked.compareTo(route.timeout()) < 0 ? asked : route.timeout();
    }

    /** Returns the time from the request's first byte to the end of its answer. */
    Duration total() {
        return whole;
    }

    /** Returns the time after which a request that was not sent is refused. */
    Duration maxTimeBeforeSend() {
        Duration byTime = part(whole, TIME_PART);
        if (route.kind() != RouteKind.STREAMING) {
            return byTime;
        }
        Duration byPatience = part(route.patience(), PATIENCE_PART);
        return byPatience.compareTo(byTime) < 0 ? byPatience : byTime;
    }

    /** Returns the time within which a request must be sent to usually meet its objective. */
    Duration onTimeBeforeSend() {
        return left(route.objective(), FIRST_PART);
    }

    /**
     * Returns false if so little time remains that the upstream would run the request in vain. A
     * delayed thread may process a request when its caller's time is up.
     */
    boolean allowsSending(Duration left) {
        return left.compareTo(part(route.objective(), LEAST_PART)) > 0;
    }

    /** Returns how long a request may wait for tokens, {@code age} after its first byte. */
    WaitLimits tokenWaitLimits(Duration age) {
        Duration inTime = part(route.objective(), TOKENS_PART);
        Duration byTime = part(whole, TOKENS_TIME_PART);
        Duration longest = route.objective().multipliedBy(TOKENS_OBJECTIVES);
        longest = longest.compareTo(byTime) < 0 ? longest : byTime;
        longest = longest.compareTo(LONGEST_FOR_TOKENS) < 0 ? longest : LONGEST_FOR_TOKENS;
        return new WaitLimits(left(inTime, age), left(longest, age));
    }

    private static Duration left(Duration whole, Duration age) {
        return whole.compareTo(age) > 0 ? whole.minus(age) : Duration.ZERO;
    }

    /**
     * Returns the idle timeout, after which an attempt at a silent upstream is abandoned.
     *
     * @param begun whether the answer has started
     * @param second whether a retry is possible
     */
    Duration idleTimeout(boolean begun, boolean second) {
        if (route.kind() == RouteKind.STREAMING && route.isRepeatable()) {
            return begun ? SILENT_STREAM : SILENT_STREAM.plus(route.objective());
        }
        return route.isRepeatable() && second ? part(whole, SILENT_PART) : whole;
    }

    private static Duration part(Duration time, double part) {
        return Duration.ofNanos((long) (time.toNanos() * part));
    }
}
