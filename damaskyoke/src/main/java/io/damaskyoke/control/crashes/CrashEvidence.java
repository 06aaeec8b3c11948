package io.damaskyoke.control.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Collects the evidence for and against one suspect request: the crashes at which it ran, the runs
 * that the upstream survived, and its last success.
 */
final class CrashEvidence {
    /** Crashes of the upstreams of one rack are seen within this time, by several routers. */
    private static final Duration TOGETHER = Duration.ofMillis(150);

    /** Maximum difference between the times that several routers give for the same event. */
    private static final Duration INEXACT = Duration.ofMillis(50);

    private final Map<UpstreamCrash, CrashedRun> sightings = new HashMap<>();
    private int borne;
    private Instant clearedAt = Instant.MIN;

    /**
     * A crash of an upstream while a run of the request, which began at {@code began}, was there.
     */
    private record CrashedRun(Instant began, Instant at) {}

    /** Counts the crashes of upstreams in a period, whichever requests ran there. */
    @FunctionalInterface
    interface CrashHistory {
        /** Returns the number of crashes from the first instant to the second, both inclusive. */
        long countBetween(Instant from, Instant to);
    }

    /**
     * Records that the request was running at a crash. Several routers may report the same crash,
     * and a report may arrive after that of a later success, which clears it.
     */
    void addCrash(UpstreamCrash end, Instant began, Instant at) {
        if (at.isAfter(clearedAt)) {
            sightings.putIfAbsent(end, new CrashedRun(began, at));
        }
    }

    /** Records runs of the request that did not crash the upstream. */
    void addSurvivedRuns(int times) {
        borne += times;
    }

    /** Records that the request succeeded: it did not cause the crashes up to that time. */
    void recordSuccess(Instant at) {
        if (at.isAfter(clearedAt)) {
            clearedAt = at;
            borne = 0;
            sightings.values().removeIf(each -> !each.at.isAfter(at));
        }
    }

    int survivedRuns() {
        return borne;
    }

    /** Removes the crashes before the given time. */
    void removeBefore(Instant oldest) {
        sightings.values().removeIf(each -> each.at.isBefore(oldest));
    }

    /**
     * Returns the time of the n-th crash at which the request ran, in order of time, or empty if
     * there are fewer. The crashes of a rack are not merged here.
     */
    Optional<Instant> crashTime(int number) {
        return sightings.values().stream()
                .map(CrashedRun::at)
                .sorted()
                .skip(number - 1)
                .findFirst();
    }

    /**
     * Returns the time of the last crash at which the request ran, or {@link Instant#MIN} if there
     * is none.
     */
    Instant lastCrashAt() {
        return sightings.values().stream()
                .map(CrashedRun::at)
                .max(Comparator.naturalOrder())
                .orElse(Instant.MIN);
    }

    /**
     * Returns the number of crashes that count against the request. Of several upstreams that crash
     * at the same moment, each counts if the request ran at all of them: these are copies running
     * side by side. If it ran at some of them only, they have another common cause and count as
     * one.
     *
     * @param ends all crashes, whichever requests ran there
     */
    int countedCrashes(CrashHistory ends) {
        // Nearly all requests that run at a crash run at a single one, and there may be hundreds.
        if (sightings.size() <= 1) {
            return sightings.size();
        }
        List<CrashedRun> ordered =
                sightings.values().stream().sorted(Comparator.comparing(CrashedRun::at)).toList();
        int weight = 0;
        for (int first = 0, next; first < ordered.size(); first = next) {
            next = first + 1;
            while (next < ordered.size()
                    && simultaneous(ordered.get(next - 1), ordered.get(next))) {
                next++;
            }
            weight += countedCrashes(ordered.subList(first, next), ends);
        }
        return weight;
    }

    private static boolean simultaneous(CrashedRun one, CrashedRun next) {
        return !next.at.isAfter(one.at.plus(TOGETHER));
    }

    private static int countedCrashes(List<CrashedRun> moment, CrashHistory ends) {
        Instant from = moment.get(0).at.minus(TOGETHER);
        Instant to = moment.get(moment.size() - 1).at.plus(TOGETHER);
        return ends.countBetween(from, to) > moment.size()
                ? countSequential(moment)
                : moment.size();
    }

    // Counts a crash only if the run began after the previous counted crash: a request that is
    // retried at once is sent after the crash before.
    private static int countSequential(List<CrashedRun> moment) {
        int count = 0;
        Instant last = Instant.MIN;
        for (CrashedRun each : moment) {
            if (!each.began.plus(INEXACT).isBefore(last)) {
                count++;
                last = each.at;
            }
        }
        return count;
    }
}
