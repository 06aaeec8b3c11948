package io.damaskyoke.direct;

import io.damaskyoke.control.direct.Route;
import io.damaskyoke.control.direct.RouteKind;
import java.time.Duration;
import java.util.Optional;

/**
 * How long a request may take, by its route and its caller's deadline: in all, before it is sent,
 * and between two signs of life of its upstream.
 */
final class Patience {
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

    private final Route route;
    private final Duration whole;

    Patience(Route route, Optional<Duration> deadline) {
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

    /**
     * Until an upstream that says nothing is given up on, once the answer has {@code begun} or
     * before; {@code second} tells whether another one may be tried.
     */
    Duration betweenBytes(boolean begun, boolean second) {
        if (route.kind() == RouteKind.STREAMING && route.repeatable()) {
            return begun ? SILENT_STREAM : SILENT_STREAM.plus(route.objective());
        }
        return route.repeatable() && second ? part(whole, SILENT_PART) : whole;
    }

    private static Duration part(Duration time, double part) {
        return Duration.ofNanos((long) (time.toNanos() * part));
    }
}
