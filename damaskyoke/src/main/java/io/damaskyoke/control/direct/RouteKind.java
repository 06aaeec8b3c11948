package io.damaskyoke.control.direct;

/** What may be done again with the requests of a route. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs once at most for each request of a caller. */
    NON_IDEMPOTENT,
    /** Answered by a series of events; runs once at most unless the route is resumable. */
    STREAMING
}
