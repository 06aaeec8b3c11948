package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.LruMap;
import io.damaskyoke.control.crashes.CrashSettings;
import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashSuspects;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.RequestIdentity;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Decides at a counting router what has caused the crashes that all routers report: {@code
 * finder.countCrash(crash, ago, runs)}. Control thread only.
 *
 * <p>A suspect that explains enough crashes is held for the clearing time, in which one success at
 * any router clears it. If it is still a cause then, it is found.
 */
public final class CrashCauseFinder {
    private static final Logger LOG = LogManager.getLogger(CrashCauseFinder.class);

    /**
     * How long a suspect may still be cleared by a success before it is found to be a cause. All
     * routers have to know of the quarantine three seconds after the third crash.
     */
    private static final Duration CLEARING_TIME = Duration.ofSeconds(2);

    /** Number of crashes from which a prompt part that never succeeded has less clearing time. */
    private static final int DECISIVE_CRASHES = 5;

    /**
     * The clearing time from that crash on. All routers have to know of the quarantine of a part
     * three seconds after its fifth crash.
     */
    private static final Duration DECISIVE_CLEARING_TIME = Duration.ofSeconds(1);

    /** The shortest clearing time, which leaves other routers time to announce recent successes. */
    private static final Duration MIN_CLEARING_TIME = Duration.ofMillis(500);

    /** How often the routers are asked for successes at the end of the clearing time. */
    private static final int ASKS = 2;

    /** Time for the answers of all routers. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(250);

    /** After the first report of a crash, those of most routers have come in by then. */
    private static final Duration REPORTS_COMPLETE_AFTER = Duration.ofMillis(50);

    private static final int MAX_SUSPECTED = 512;

    private final ControlThread control;
    private final Metrics metrics;
    private final Listener listener;
    private final int crashThreshold;
    private final CrashSuspects suspects;
    private final Map<CrashSuspect, HeldSuspect> held = new HashMap<>();
    private final Map<CrashSuspect, Instant> suspectedSince = new LruMap<>(MAX_SUSPECTED);
    private final Set<CrashSuspect> unreviewed = new HashSet<>();
    private boolean reviewScheduled;
    private boolean remainingReviewScheduled;

    /** A suspect that is held until the given time, and the timer of the next step. */
    private record HeldSuspect(Instant decideAt, ControlThread.Cancellable timer) {}

    /** Receives what the finder suspects and finds. */
    interface Listener {
        /**
         * One more crash may make the suspect a cause; routers are to announce its successes.
         *
         * @param again whether they are to announce earlier ones once more
         */
        void suspected(CrashSuspect suspect, boolean again);

        /**
         * The suspect is a cause of crashes; reported again after each further crash.
         *
         * @param crashes number of crashes that count against it
         * @param lastCrashAt time of the last of them
         */
        void causeFound(CrashSuspect suspect, int crashes, Instant lastCrashAt);

        /** Returns true if the suspect is quarantined, so that it need not be held again. */
        boolean isKnownCause(CrashSuspect suspect);
    }

    CrashCauseFinder(
            ControlThread control, CrashSettings settings, Listener listener, Metrics metrics) {
        this.control = control;
        this.metrics = metrics;
        this.listener = listener;
        this.crashThreshold = settings.crashThreshold();
        this.suspects = new CrashSuspects(settings);
    }

    /** Returns the number of suspects that are held for the clearing time. */
    int heldCount() {
        return held.size();
    }

    /**
     * Counts a crash so long ago that a router reported.
     *
     * @param runs the runs of that router at the crash
     * @param lastSuccess returns the time of the last success of a suspect that this router knows
     */
    void countCrash(
            UpstreamCrash crash,
            Duration ago,
            List<CrashedRun> runs,
            Function<CrashSuspect, Optional<Instant>> lastSuccess) {
        Instant now = now();
        List<CrashSuspect> requests = runs.stream().map(run -> run.request().request()).toList();
        int before = countedCrashes(requests, now);
        suspects.recordCrash(crash, runs, now.minus(ago));
        for (CrashedRun run : runs) {
            for (CrashSuspect each : run.request().suspects()) {
                lastSuccess.apply(each).ifPresent(at -> suspects.recordSuccess(each, at));
            }
        }
        int ignored = requests.size() - (countedCrashes(requests, now) - before);
        if (ignored > 0) {
            metrics.count("ends_not_counted", "why", "together_with_others", ignored);
        }
        requests.stream()
                .filter(each -> suspects.countedCrashes(each, now) >= crashThreshold - 1)
                .forEach(this::reportSuspected);
        runs.forEach(run -> reviewSoon(crash, run.request()));
    }

    private void reviewSoon(UpstreamCrash crash, RequestIdentity request) {
        for (CrashSuspect each : request.suspects()) {
            if (suspects.ranAtSeveralCrashes(each)) {
                unreviewed.add(each);
            }
        }
        if (!unreviewed.isEmpty() && !reviewScheduled) {
            reviewScheduled = true;
            control.after(REPORTS_COMPLETE_AFTER, () -> review(crash));
        }
    }

    private void review(UpstreamCrash crash) {
        reviewScheduled = false;
        List<CrashSuspect> nearCauses = suspects.causes(crashThreshold - 1, now());
        nearCauses.forEach(this::reportSuspected);
        suspects.causes(crashThreshold, now()).stream()
                .filter(unreviewed::contains)
                .forEach(this::hold);
        unreviewed.clear();
        logLikeliestCauses(crash, nearCauses);
    }

    private int countedCrashes(List<CrashSuspect> requests, Instant now) {
        return requests.stream().mapToInt(each -> suspects.countedCrashes(each, now)).sum();
    }

    private void reportSuspected(CrashSuspect suspect) {
        suspectedSince.putIfAbsent(suspect, now());
        listener.suspected(suspect, false);
    }

    // A suspect may run at several upstreams that crash for one unrelated reason. Then it runs at
    // others too, and one of them answers it within the clearing time.
    private void hold(CrashSuspect suspect) {
        if (listener.isKnownCause(suspect)) {
            reportCause(suspect);
            return;
        }
        Instant decideAt = now().plus(clearingTime(suspect));
        HeldSuspect known = held.get(suspect);
        if (known == null || decideAt.isBefore(known.decideAt)) {
            release(suspect);
            Duration untilAsked = clearingTime(suspect).minus(ANSWER_TIME.multipliedBy(ASKS));
            held.put(
                    suspect,
                    new HeldSuspect(
                            decideAt,
                            control.after(untilAsked, () -> askForSuccesses(suspect, ASKS))));
        }
    }

    private void release(CrashSuspect suspect) {
        HeldSuspect known = held.remove(suspect);
        if (known != null) {
            known.timer.cancel();
        }
    }

    // If another suspect was likelier at first, or if the crashes looked like the failure of a
    // rack, this one has already gone without a success for part of the clearing time. Routers
    // announce successes only of what is suspected.
    private Duration clearingTime(CrashSuspect suspect) {
        Instant now = now();
        Instant since = suspectedSince.getOrDefault(suspect, now);
        Instant reached = suspects.crashTime(suspect, crashThreshold).orElse(now);
        Instant from = since.isAfter(reached) ? since : reached;
        Instant until = from.plus(CLEARING_TIME);
        Instant decisive =
                decisiveAt(suspect).map(at -> at.plus(DECISIVE_CLEARING_TIME)).orElse(until);
        Duration left = Duration.between(now, decisive.isBefore(until) ? decisive : until);
        return left.compareTo(MIN_CLEARING_TIME) > 0 ? left : MIN_CLEARING_TIME;
    }

    // A prompt part that has never succeeded and that ran at this many crashes needs less time: a
    // sound part that is in such frequent use has succeeded before.
    private Optional<Instant> decisiveAt(CrashSuspect suspect) {
        return suspect.isPromptPart() && !suspects.hasSucceeded(suspect)
                ? suspects.crashTime(suspect, DECISIVE_CRASHES)
                : Optional.empty();
    }

    // The announcement of a success may have been lost. So the routers announce it once more.
    private void askForSuccesses(CrashSuspect suspect, int asksLeft) {
        HeldSuspect known = held.get(suspect);
        if (asksLeft == 0) {
            held.remove(suspect);
            decide(suspect);
            return;
        }
        held.put(
                suspect,
                new HeldSuspect(
                        known.decideAt,
                        control.after(ANSWER_TIME, () -> askForSuccesses(suspect, asksLeft - 1))));
        listener.suspected(suspect, true);
    }

    private void decide(CrashSuspect suspect) {
        if (isCause(suspect)) {
            reportCause(suspect);
        }
    }

    private boolean isCause(CrashSuspect suspect) {
        return suspects.causes(crashThreshold, now()).contains(suspect);
    }

    private void reportCause(CrashSuspect suspect) {
        listener.causeFound(
                suspect, suspects.countedCrashes(suspect, now()), suspects.lastCrashAt(suspect));
    }

    /** Records a success of the suspect at any router, at that time. */
    void recordSuccess(CrashSuspect suspect, Instant at) {
        suspects.recordSuccess(suspect, at);
        boolean suspected = suspectedSince.remove(suspect) != null;
        if (held.containsKey(suspect) && !isCause(suspect)) {
            release(suspect);
        }
        if (suspected && !remainingReviewScheduled) {
            remainingReviewScheduled = true;
            control.after(REPORTS_COMPLETE_AFTER, this::reviewRemaining);
        }
    }

    // The suspect that is cleared may have explained the crashes of another one better than that
    // one itself. If that one had to wait for its next crash, it would go on crashing upstreams.
    private void reviewRemaining() {
        remainingReviewScheduled = false;
        suspects.causes(crashThreshold, now()).stream()
                .filter(each -> !listener.isKnownCause(each))
                .forEach(this::hold);
    }

    /** Records this number of runs, at any router, that did not crash their upstream. */
    void addSurvivedRuns(CrashSuspect suspect, int times) {
        suspects.addSurvivedRuns(suspect, times);
    }

    private void logLikeliestCauses(UpstreamCrash crash, List<CrashSuspect> causes) {
        if (!causes.isEmpty()) {
            Instant now = now();
            LOG.info(
                    "crash of upstream {}: likeliest causes of the recent crashes, with their"
                            + " number: {}",
                    crash.upstream(),
                    causes.stream()
                            .map(each -> each + ": " + suspects.countedCrashes(each, now))
                            .toList());
        }
    }

    private Instant now() {
        return control.clock().instant();
    }
}
