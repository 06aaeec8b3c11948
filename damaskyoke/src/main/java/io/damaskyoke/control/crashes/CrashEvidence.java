package io.damaskyoke.control.crashes;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Collects the evidence for and against one suspect: the crashes at which it ran, the runs that the
 * upstream survived, and its last success.
 */
final class CrashEvidence {
    /** Crashes of the upstreams of one rack are seen within this time, by several routers. */
    private static final Duration SIMULTANEOUS_WITHIN = Duration.ofMillis(150);

    /** Maximum difference between the times that several routers give for the same event. */
    private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(50);

    private final Map<UpstreamCrash, RunAtCrash> runs = new HashMap<>();
    private int survivedRuns;
    private Instant clearedAt = Instant.MIN;

    /**
     * A crash of an upstream while a run of the suspect, which began at {@code startedAt}, was
     * there.
     */
    private record RunAtCrash(Instant startedAt, Instant crashedAt) {}

    /** Counts the crashes of upstreams in a period, whichever requests ran there. */
    @FunctionalInterface
    interface CrashHistory {
        /** Returns the number of crashes from the first instant to the second, both inclusive. */
        long countBetween(Instant from, Instant to);
    }

    /**
     * Records that the suspect was running at a crash. Several routers may report the same crash,
     * and a report may arrive after that of a later success, which clears it.
     */
    void addCrash(UpstreamCrash crash, Instant startedAt, Instant crashedAt) {
        if (crashedAt.isAfter(clearedAt)) {
            runs.putIfAbsent(crash, new RunAtCrash(startedAt, crashedAt));
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
                .map(RunAtCrash::crashedAt)
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
                .map(RunAtCrash::crashedAt)
                .max(Comparator.naturalOrder())
                .orElse(Instant.MIN);
    }

    /**
     * Returns the number of crashes that count against the suspect. Of several upstreams that crash
     * at the same moment, each counts if the suspect ran at all of them: these are copies running
     * side by side. If it ran at some of them only, they have another common cause and count as
     * one.
     *
     * @param crashes all crashes, whichever requests ran there
     */
    int countedCrashes(CrashHistory crashes) {
        // Nearly all suspects that run at a crash run at a single one, and there may be hundreds.
        if (runs.size() <= 1) {
            return runs.size();
        }
        List<RunAtCrash> ordered =
                runs.values().stream().sorted(Comparator.comparing(RunAtCrash::crashedAt)).toList();
        int count = 0;
        for (int first = 0, next; first < ordered.size(); first = next) {
            next = first + 1;
            while (next < ordered.size()
                    && simultaneous(ordered.get(next - 1), ordered.get(next))) {
                next++;
            }
            count += countedCrashes(ordered.subList(first, next), crashes);
        }
        return count;
    }

    private static boolean simultaneous(RunAtCrash one, RunAtCrash next) {
        return !next.crashedAt.isAfter(one.crashedAt.plus(SIMULTANEOUS_WITHIN));
    }

    private static int countedCrashes(List<RunAtCrash> group, CrashHistory crashes) {
        Instant from = group.get(0).crashedAt.minus(SIMULTANEOUS_WITHIN);
        Instant to = group.get(group.size() - 1).crashedAt.plus(SIMULTANEOUS_WITHIN);
        return crashes.countBetween(from, to) > group.size()
                ? countSequential(group)
                : group.size();
    }

    // Counts a crash only if the run began after the previous counted crash: a request that is
    // retried at once is sent after the crash before.
    private static int countSequential(List<RunAtCrash> group) {
        int count = 0;
        Instant last = Instant.MIN;
        for (RunAtCrash each : group) {
            if (!each.startedAt.plus(CLOCK_TOLERANCE).isBefore(last)) {
                count++;
                last = each.crashedAt;
            }
        }
        return count;
    }
}
