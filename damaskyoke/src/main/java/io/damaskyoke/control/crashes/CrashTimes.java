package io.damaskyoke.control.crashes;

import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Remembers when upstreams crashed, to tell simultaneous crashes from others. */
final class CrashTimes {
    private final int maxCrashes;
    private final Map<UpstreamCrash, Instant> times = new LinkedHashMap<>();
    private final NavigableMap<Instant, Integer> counts = new TreeMap<>();

    /** Creates a memory of at most this many crashes; the oldest ones are evicted. */
    CrashTimes(int maxCrashes) {
        this.maxCrashes = maxCrashes;
    }

    /** Records a crash; the first of several times for the same crash applies. */
    void record(UpstreamCrash crash, Instant at) {
        if (times.putIfAbsent(crash, at) != null) {
            return;
        }
        counts.merge(at, 1, Integer::sum);
        if (times.size() > maxCrashes) {
            removeOldest();
        }
    }

    private void removeOldest() {
        Iterator<Instant> oldest = times.values().iterator();
        Instant at = oldest.next();
        oldest.remove();
        counts.computeIfPresent(at, (time, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the number of crashes from the first instant to the second, both inclusive. */
    int countBetween(Instant from, Instant to) {
        return counts.subMap(from, true, to, true).values().stream().mapToInt(each -> each).sum();
    }
}
