package io.damaskyoke.control.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What speaks against one request, and what for it. */
final class Evidence {
    /** Upstreams of a rack end within this, as several routers see it. */
    private static final Duration TOGETHER = Duration.ofMillis(150);

    /** Routers' words of when something was may differ by this. */
    private static final Duration INEXACT = Duration.ofMillis(50);

    private final Map<UpstreamEnd, Sighting> sightings = new HashMap<>();
    private int borne;
    private Instant clearedAt = Instant.MIN;

    /** An upstream ended while a run of the request was there, which had begun then. */
    private record Sighting(Instant began, Instant at) {}

    /** Tells how many upstreams ended in a time, whatever ran there. */
    @FunctionalInterface
    interface Ends {
        /** From the first instant to the second. */
        long between(Instant from, Instant to);
    }

    /**
     * It was there at an end; several routers may say so of the same. Word of an end may come after
     * that of a later success.
     */
    void seen(UpstreamEnd end, Instant began, Instant at) {
        if (at.isAfter(clearedAt)) {
            sightings.putIfAbsent(end, new Sighting(began, at));
        }
    }

    /** An upstream took it and did not end, so often. */
    void borne(int times) {
        borne += times;
    }

    /** It was answered with a success then: whatever ended before that did not end by it. */
    void cleared(Instant at) {
        if (at.isAfter(clearedAt)) {
            clearedAt = at;
            borne = 0;
            sightings.values().removeIf(each -> !each.at.isAfter(at));
        }
    }

    int timesBorne() {
        return borne;
    }

    /** Forgets ends of before. */
    void forgetBefore(Instant oldest) {
        sightings.values().removeIf(each -> each.at.isBefore(oldest));
    }

    /** When upstreams had ended under it so often, those of a rack one by one. */
    Optional<Instant> end(int number) {
        return sightings.values().stream().map(Sighting::at).sorted().skip(number - 1).findFirst();
    }

    /** When the last upstream ended under it. */
    Instant lastEnd() {
        return sightings.values().stream()
                .map(Sighting::at)
                .max(Comparator.naturalOrder())
                .orElse(Instant.MIN);
    }

    /**
     * How many ends speak against it, of all that there were. Where several upstreams ended at one
     * moment and it ran at each of them, each counts: these are copies side by side. Where it ran
     * at some of them only, something else ended all of them, and they count as one.
     */
    int weight(Ends ends) {
        // Nearly all requests that ran at an end ran at no other, and there may be hundreds.
        if (sightings.size() <= 1) {
            return sightings.size();
        }
        List<Sighting> ordered =
                sightings.values().stream().sorted(Comparator.comparing(Sighting::at)).toList();
        int weight = 0;
        for (int first = 0, next; first < ordered.size(); first = next) {
            next = first + 1;
            while (next < ordered.size() && together(ordered.get(next - 1), ordered.get(next))) {
                next++;
            }
            weight += weight(ordered.subList(first, next), ends);
        }
        return weight;
    }

    private static boolean together(Sighting one, Sighting next) {
        return !next.at.isAfter(one.at.plus(TOGETHER));
    }

    private static int weight(List<Sighting> moment, Ends ends) {
        Instant from = moment.get(0).at.minus(TOGETHER);
        Instant to = moment.get(moment.size() - 1).at.plus(TOGETHER);
        return ends.between(from, to) > moment.size() ? oneAfterTheOther(moment) : moment.size();
    }

    // One that comes again at once is sent after the end before.
    private static int oneAfterTheOther(List<Sighting> moment) {
        int count = 0;
        Instant last = Instant.MIN;
        for (Sighting each : moment) {
            if (!each.began.plus(INEXACT).isBefore(last)) {
                count++;
                last = each.at;
            }
        }
        return count;
    }
}
