package io.damaskyoke.control.direct;

/** How often the requests of a route may run. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request runs at most once. */
    NON_IDEMPOTENT,
    /**
     * A request is answered by a stream of events, and runs at most once unless the route is
     * resumable.
     */
    STREAMING
}
