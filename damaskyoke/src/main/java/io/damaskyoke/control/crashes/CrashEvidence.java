package io.damaskyoke.control.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Collects the evidence for and against one suspect: the crashes at which it ran, the runs that the
 * upstream survived, and its last success.
 */
final class CrashEvidence {
    /** Crashes of the upstreams of one rack are seen within this time, by several routers. */
    private static final Duration SIMULTANEOUS_WITHIN = Duration.ofMillis(150);

    /** Maximum difference between the times that several routers give for the same event. */
    private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(50);

    private final Map<UpstreamCrash, RunsAtCrash> runs = new HashMap<>();
    private int survivedRuns;
    private Instant clearedAt = Instant.MIN;

    /**
     * The runs of the suspect at one crash.
     *
     * @param startedAt when the run began that was reported first
     * @param crashedAt when the upstream crashed
     * @param count number of runs, over all routers
     */
    private record RunsAtCrash(Instant startedAt, Instant crashedAt, int count) {
        RunsAtCrash plus(RunsAtCrash other) {
            return new RunsAtCrash(startedAt, crashedAt, count + other.count);
        }
    }

    /**
     * Records that a run of the suspect was in progress at a crash. Several routers may report the
     * same crash, and a report may arrive after that of a later success, which clears it.
     */
    void addRun(UpstreamCrash crash, Instant startedAt, Instant crashedAt) {
        if (crashedAt.isAfter(clearedAt)) {
            runs.merge(crash, new RunsAtCrash(startedAt, crashedAt, 1), RunsAtCrash::plus);
        }
    }

    /** Records runs of the suspect that did not crash the upstream. */
    void addSurvivedRuns(int times) {
        survivedRuns += times;
    }

    /** Records that the suspect succeeded: it did not cause the crashes up to that time. */
    void recordSuccess(Instant at) {
        if (at.isAfter(clearedAt)) {
            clearedAt = at;
            survivedRuns = 0;
            runs.values().removeIf(each -> !each.crashedAt.isAfter(at));
        }
    }

    int survivedRuns() {
        return survivedRuns;
    }

    /** Returns true if the suspect has ever succeeded. */
    boolean hasSucceeded() {
        return clearedAt.isAfter(Instant.MIN);
    }

    /** Returns the crashes at which the suspect ran and that no success has cleared. */
    Set<UpstreamCrash> crashes() {
        return runs.keySet();
    }

    /** Returns the number of runs of the suspect at these crashes. */
    int runCount() {
        return runs.values().stream().mapToInt(RunsAtCrash::count).sum();
    }

    /** Removes the crashes before the given time. */
    void removeBefore(Instant oldest) {
        runs.values().removeIf(each -> each.crashedAt.isBefore(oldest));
    }

    /**
     * Returns the time of the n-th crash at which the suspect ran, in order of time, or empty if
     * there are fewer. The crashes of a rack are not merged here.
     */
    Optional<Instant> crashTime(int number) {
        return runs.values().stream()
                .map(RunsAtCrash::crashedAt)
                .sorted()
                .skip(number - 1)
                .findFirst();
    }

    /**
     * Returns the time of the last crash at which the suspect ran, or {@link Instant#MIN} if there
     * is none.
     */
    Instant lastCrashAt() {
        return runs.values().stream()
                .map(RunsAtCrash::crashedAt)
                .max(Comparator.naturalOrder())
                .orElse(Instant.MIN);
    }

    /**
     * Returns the number of crashes that count against the suspect. Of several upstreams that crash
     * at the same moment, each counts if the suspect ran at all of them: these are copies running
     * side by side. If it ran at some of them only, they have another common cause and count as
     * one.
     *
     * @param crashTimes the times of all crashes, whatever ran there
     * @param explained crashes that do not count, as another suspect caused them
     */
    int countedCrashes(CrashTimes crashTimes, Set<UpstreamCrash> explained) {
        // Nearly all suspects that run at a crash run at a single one, and there may be hundreds.
        if (runs.size() <= 1) {
            return explained.containsAll(runs.keySet()) ? 0 : runs.size();
        }
        List<RunsAtCrash> ordered =
                runs.entrySet().stream()
                        .filter(each -> !explained.contains(each.getKey()))
                        .map(Map.Entry::getValue)
                        .sorted(Comparator.comparing(RunsAtCrash::crashedAt))
                        .toList();
        int count = 0;
        for (int first = 0, next; first < ordered.size(); first = next) {
            next = first + 1;
            while (next < ordered.size()
                    && simultaneous(ordered.get(next - 1), ordered.get(next))) {
                next++;
            }
            count += countedCrashes(ordered.subList(first, next), crashTimes);
        }
        return count;
    }

    private static boolean simultaneous(RunsAtCrash one, RunsAtCrash next) {
        return !next.crashedAt.isAfter(one.crashedAt.plus(SIMULTANEOUS_WITHIN));
    }

    private static int countedCrashes(List<RunsAtCrash> group, CrashTimes crashTimes) {
        Instant from = group.get(0).crashedAt.minus(SIMULTANEOUS_WITHIN);
        Instant to = group.get(group.size() - 1).crashedAt.plus(SIMULTANEOUS_WITHIN);
        return crashTimes.countBetween(from, to) > group.size()
                ? countSequential(group)
                : group.size();
    }

    // Counts a crash only if the run began after the previous counted crash: a request that is
    // retried at once is sent after the crash before.
    private static int countSequential(List<RunsAtCrash> group) {
        int count = 0;
        Instant last = Instant.MIN;
        for (RunsAtCrash each : group) {
            if (!each.startedAt.plus(CLOCK_TOLERANCE).isBefore(last)) {
                count++;
                last = each.crashedAt;
            }
        }
        return count;
    }
}
