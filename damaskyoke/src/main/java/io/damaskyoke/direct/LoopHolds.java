package io.damaskyoke.direct;

import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * How long steps of each kind have held the one thread, for the metrics and the log: {@code
 * holds.held(step, nanos)}. A step's kind is the class that it belongs to.
 */
final class LoopHolds {
    private static final Logger LOG = LogManager.getLogger(LoopHolds.class);

    /** Shorter ones delay no caller that anybody would notice. */
    private static final Duration WORTH_KEEPING = Duration.ofMillis(5);

    /** From here on a line is written. */
    private static final Duration LONG = Duration.ofMillis(100);

    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<String, Long> longest = new ConcurrentHashMap<>();
    private final Metrics metrics;

    LoopHolds(Metrics metrics) {
        this.metrics = metrics;
    }

    /** Notes that a step has run for so many nanoseconds. */
    void held(Runnable step, long nanos) {
        if (nanos < WORTH_KEEPING.toNanos()) {
            return;
        }
        String kind = kind(step);
        boolean first = longest.put(kind, Math.max(nanos, longest.getOrDefault(kind, 0L))) == null;
        if (first) {
            metrics.gauge(
                    "loop_longest_hold_ms", "by", kind, () -> longest.get(kind) / NANOS_PER_MILLI);
        }
        if (nanos >= LONG.toNanos()) {
            LOG.info("the loop was held for {} ms by {}", nanos / 1_000_000, kind);
        }
    }

    // A lambda's class is named after the class that holds it.
    private static String kind(Runnable step) {
        String name = step.getClass().getName();
        int end = name.indexOf('$');
        String outer = end < 0 ? name : name.substring(0, end);
        return outer.substring(outer.lastIndexOf('.') + 1);
    }
}
