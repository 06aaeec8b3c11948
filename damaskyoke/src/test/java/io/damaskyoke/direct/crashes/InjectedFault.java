package io.damaskyoke.direct.crashes;

/** A fault that a {@link CrashSimulation} injects only if a test asks for it. */
enum InjectedFault {
    /** One in ten sends of the poison request is answered with an error status and not run. */
    ERROR_ANSWERS,
    /** One in three callers of the poison request leaves before the upstream crashes. */
    CALLERS_LEAVE,
    /** One in three probes of a crashed upstream shows that it accepts connections. */
    WRONG_PROBES,
    /** Each request is sent three times at once. */
    COPIES,
    /** Half of the upstreams start to drain while the poison request runs there. */
    DRAINING,
    /** The poison request runs up to two seconds before its upstream crashes. */
    LONG_RUNS,
    /** A crashed upstream accepts connections at its old address within a second. */
    FAST_RESTARTS,
    /** Announcements take up to 0.3 s. */
    LATE_ANNOUNCEMENTS,
    /** One in four announcements is lost. */
    LOST_ANNOUNCEMENTS,
    /** Each second a router restarts without its state. */
    ROUTER_RESTARTS,
    /** For two seconds of three some router is cut off from all others. */
    ROUTERS_CUT_OFF,
    /** Repeated requests are always answered with an error status. */
    FAILING_POLLS,
    /** Each upstream crashes together with three others, as those of a rack do. */
    RACK_FAILURES,
}
