package io.damaskyoke.direct;

import io.damaskyoke.control.direct.Route;
import io.damaskyoke.control.direct.RouteKind;
import io.damaskyoke.control.rates.WaitLimits;
import java.time.Duration;
import java.util.Optional;

/**
 * How long a request may take, by its route and its caller's deadline: in all, before it is sent,
 * and between two signs of life of its upstream.
 */
final class TimeBudget {
    /** The part of a caller's patience that may go by before its request is sent. */
    private static final double PATIENCE_PART = 0.8;

    /** The part of a caller's whole time that may go by before its request is sent. */
    private static final double TIME_PART = 0.6;

    /**
     * A repeatable request that got no answer by this part of its time has the rest for a second
     * try: callers of plain services have little time.
     */
    private static final double SILENT_PART = 0.45;

    /** A stream's events come some ten milliseconds apart; this long without one is no pause. */
    private static final Duration SILENT_STREAM = Duration.ofMillis(1_500);

    /** From its sending to the first part of a stream, as a rule. */
    private static final Duration FIRST_PART = Duration.ofMillis(200);

    /** The part of the objective that may go by before a request has its tokens. */
    private static final double TOKENS_PART = 0.5;

    /** So many objectives a request waits for tokens that are sure to come; late beats refused. */
    private static final int TOKENS_OBJECTIVES = 3;

    /** The part of a caller's whole time that may go by before a request has its tokens. */
    private static final double TOKENS_TIME_PART = 0.3;

    /** The part of the objective that must be left for a send to be of any use. */
    private static final double LEAST_PART = 0.1;

    /** Less than a loan lasts. */
    private static final Duration LONGEST_FOR_TOKENS = Duration.ofMillis(1_800);

    private final Route route;
    private final Duration whole;

    TimeBudget(Route route, Optional<Duration> deadline) {
        Duration asked = deadline.orElse(route.timeout());
        this.route = route;
        this.whole = asked.compareTo(route.timeout()) < 0 ? asked : route.timeout();
    }

    /** From its first byte to the end of its answer. */
    Duration whole() {
        return whole;
    }

    /** Until it must have been sent, or is refused. */
    Duration beforeSending() {
        Duration byTime = part(whole, TIME_PART);
        if (route.kind() != RouteKind.STREAMING) {
            return byTime;
        }
        Duration byPatience = part(route.patience(), PATIENCE_PART);
        return byPatience.compareTo(byTime) < 0 ? byPatience : byTime;
    }

    /** Until it must have been sent to be answered within its objective, as a rule. */
    Duration inTimeBeforeSending() {
        return left(route.objective(), FIRST_PART);
    }

    /**
     * False if so little is left that sending it would only make an upstream work for nobody. A
     * thread that is behind may come to a request when its caller's time is over.
     */
    boolean allowsSending(Duration left) {
        return left.compareTo(part(route.objective(), LEAST_PART)) > 0;
    }

    /** How long it may wait for its workspace's tokens, {@code age} after its first byte. */
    WaitLimits forTokens(Duration age) {
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
     * Until an upstream that says nothing is given up on, once the answer has {@code begun} or
     * before; {@code second} tells whether another one may be tried.
     */
    Duration betweenBytes(boolean begun, boolean second) {
        if (route.kind() == RouteKind.STREAMING && route.isRepeatable()) {
            return begun ? SILENT_STREAM : SILENT_STREAM.plus(route.objective());
        }
        return route.isRepeatable() && second ? part(whole, SILENT_PART) : whole;
    }

    private static Duration part(Duration time, double part) {
        return Duration.ofNanos((long) (time.toNanos() * part));
    }
}
