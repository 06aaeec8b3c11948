package io.damaskyoke.control.upstreams;

import java.util.OptionalInt;

/**
 * The load that an upstream reports with an answer.
 *
 * @param running requests that run there, from all routers
 * @param waiting requests that are queued there, from all routers
 * @param slots requests that it runs at once, if it says so
 * @param relativeTime how long work takes there now, in percent of the usual, if it says so
 */
public record LoadReport(int running, int waiting, OptionalInt slots, OptionalInt relativeTime) {
    /** Creates a report of the two counts alone. */
    public LoadReport(int running, int waiting) {
        this(running, waiting, OptionalInt.empty(), OptionalInt.empty());
    }
}
