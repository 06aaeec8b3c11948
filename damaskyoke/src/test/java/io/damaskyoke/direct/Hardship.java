package io.damaskyoke.direct;

/** What a {@link CrashWorld} spares its routers, unless a test asks for it. */
enum Hardship {
    /** One in ten sends of the deadly request is answered by a failure, and not run. */
    FAILURES,
    /** One in three callers of the deadly request leaves before the upstream ends. */
    CALLERS_LEAVE,
    /** One in three looks at an ended upstream shows that it takes connections. */
    WRONG_LOOKS,
    /** Each request comes three times at once. */
    COPIES,
    /** Half of the upstreams say that they leave while the deadly request runs there. */
    DRAINING,
    /** The deadly request runs up to two seconds before its upstream ends. */
    LONG_RUNS,
    /** An upstream is back within a second under its old address, and takes connections. */
    REBORN,
    /** Word of another router takes up to 0.3 s. */
    NEWS_LATE,
    /** One in four words of another router gets lost. */
    NEWS_LOST,
    /** A router ends each second and starts again at once, and knows nothing. */
    ROUTERS_END,
    /** For two seconds of three some router neither tells the others anything nor is told. */
    ROUTERS_CUT,
    /** What is asked over and over is always answered by a failure. */
    FAILING_POLLS,
    /** Each upstream ends with three neighbours at the same moment, as those of a rack do. */
    RACKS,
}
