package io.damaskyoke.control.upstreams;

import java.util.OptionalInt;

/**
 * The load that an upstream reports with an answer; each figure may be missing.
 *
 * @param running requests that run there, from all routers
 * @param waiting requests that are queued there, from all routers
 * @param slots requests that it runs at once
 * @param relativeTime how long work takes there now, in percent of the usual
 */
public record LoadReport(
        OptionalInt running, OptionalInt waiting, OptionalInt slots, OptionalInt relativeTime) {
    /** Creates a report of the two counts alone. */
    public LoadReport(int running, int waiting) {
        this(
                OptionalInt.of(running),
                OptionalInt.of(waiting),
                OptionalInt.empty(),
                OptionalInt.empty());
    }

    /** Returns the number of requests there, from all routers, if the report has both counts. */
    public OptionalInt requests() {
        return running.isPresent() && waiting.isPresent()
                ? OptionalInt.of(running.getAsInt() + waiting.getAsInt())
                : OptionalInt.empty();
    }
}
