package io.damaskyoke.direct;

import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Records the longest time for which steps of each class have blocked the event loop, for the
 * metrics and the log: {@code holds.record(step, nanos)}.
 */
final class EventLoopHoldTimes {
    private static final Logger LOG = LogManager.getLogger(EventLoopHoldTimes.class);

    /** Shorter steps delay no caller noticeably and are not recorded. */
    private static final Duration MIN_RECORDED = Duration.ofMillis(5);

    /** Steps of at least this length are logged. */
    private static final Duration LOG_THRESHOLD = Duration.ofMillis(100);

    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<String, Long> longest = new ConcurrentHashMap<>();
    private final Metrics metrics;

    EventLoopHoldTimes(Metrics metrics) {
        this.metrics = metrics;
    }

    /** Records that a step has run for this many nanoseconds. */
    void record(Runnable step, long nanos) {
        if (nanos < MIN_RECORDED.toNanos()) {
            return;
        }
        String className = className(step);
        boolean first =
                longest.put(className, Math.max(nanos, longest.getOrDefault(className, 0L)))
                        == null;
        if (first) {
            metrics.gauge(
                    "loop_longest_hold_ms",
                    "by",
                    className,
                    () -> longest.get(className) / NANOS_PER_MILLI);
        }
        if (nanos >= LOG_THRESHOLD.toNanos()) {
            LOG.info("the event loop was blocked for {} ms by {}", nanos / 1_000_000, className);
        }
    }

    // The name of a lambda's class begins with that of the class that declares it.
    private static String className(Runnable step) {
        String name = step.getClass().getName();
        int end = name.indexOf('$');
        String outer = end < 0 ? name : name.substring(0, end);
        return outer.substring(outer.lastIndexOf('.') + 1);
    }
}
