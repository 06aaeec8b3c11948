package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.LruMap;
import io.damaskyoke.control.crashes.CrashSettings;
import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashSuspects;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RecentOutcomes;
import io.damaskyoke.control.crashes.RequestIdentity;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.crashes.WatchedSuspects;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Detects poison requests, which crash the upstreams that they are sent to, and quarantines them:
 * {@code detector.recordCutRun(upstream, digest, sentAt, how)} when a run is cut off, {@code
 * detector.tryAdmit(digest)} before a request is sent. Control thread only.
 *
 * <p>{@link UpstreamCrashDetector} finds out which requests ran at an upstream when it crashed.
 * That is announced to the counting routers, which suspect the requests that several crashes have
 * in common.
 */
final class PoisonRequestDetector {
    private static final Logger LOG = LogManager.getLogger(PoisonRequestDetector.class);

    /**
     * How long a suspect may still be cleared by a success before it is quarantined. All routers
     * have to know of the quarantine three seconds after the third crash.
     */
    private static final Duration CLEARING_TIME = Duration.ofSeconds(2);

    /** How long the answers to a watched request are announced; a further crash restarts it. */
    private static final Duration WATCH_TIME = Duration.ofSeconds(30);

    /** How often a router that refuses a request announces this, in case it missed a success. */
    private static final Duration REFUSAL_ANNOUNCEMENT_INTERVAL = Duration.ofSeconds(5);

    /** How long after a crash the outcomes of requests are recorded. */
    private static final Duration OUTCOME_RECORDING_TIME = Duration.ofSeconds(10);

    /** The most requests whose outcomes are recorded. */
    private static final int MAX_RECORDED_OUTCOMES = 512;

    /** The shortest clearing time, which leaves other routers time to announce recent successes. */
    private static final Duration MIN_CLEARING_TIME = Duration.ofMillis(500);

    /** The most requests that are watched at a time; further ones are not recorded. */
    private static final int MAX_WATCHED = 512;

    /** After a crash, the reports of all routers have come in by then. */
    private static final Duration REPORTS_COMPLETE_AFTER = Duration.ofMillis(100);

    private static final int MAX_LOGGED_SUSPECTS = 5;
    private static final int MAX_LOGGED_CRASHES = 256;

    private final ControlThread control;
    private final Metrics metrics;
    private final CrashAnnouncer announcer;
    private final BooleanSupplier countsCrashes;
    private final BooleanSupplier sendsTrials;
    private final CrashSettings settings = CrashSettings.defaults();
    private final CrashSuspects suspects = new CrashSuspects(settings);
    private final Quarantine quarantine = new Quarantine(settings);
    private final WatchedSuspects watched = new WatchedSuspects(MAX_WATCHED, WATCH_TIME);
    private final UpstreamCrashDetector crashDetector;
    private final RecentOutcomes recentOutcomes = new RecentOutcomes(MAX_RECORDED_OUTCOMES);
    private final Map<CrashSuspect, Instant> lastRefusalAnnouncements = new LruMap<>(MAX_WATCHED);
    private final Map<UpstreamCrash, Boolean> loggedCrashes = new LruMap<>(MAX_LOGGED_CRASHES);
    private Instant recordOutcomesUntil = Instant.MIN;
    private final Map<CrashSuspect, ControlThread.Cancellable> clearingTimers = new HashMap<>();

    /**
     * Creates a detector without any known crash.
     *
     * @param countsCrashes whether this router is one of those that count crashes for the fleet
     * @param sendsTrials whether this router is the one that sends quarantined requests as a trial
     */
    PoisonRequestDetector(
            ControlThread control,
            CrashAnnouncer announcer,
            UpstreamCrashDetector.Prober prober,
            BooleanSupplier countsCrashes,
            BooleanSupplier sendsTrials,
            Metrics metrics) {
        this.control = control;
        this.metrics = metrics;
        this.announcer = announcer;
        this.crashDetector =
                new UpstreamCrashDetector(control, prober, new CrashListener(), metrics);
        this.countsCrashes = countsCrashes;
        this.sendsTrials = sendsTrials;
    }

    /** Returns true if no request is quarantined, so that none need be checked before a send. */
    boolean isQuarantineEmpty() {
        return quarantine.isEmpty();
    }

    /** Returns how long the request stays quarantined; empty if it may be sent, or as a trial. */
    Optional<Duration> tryAdmit(RequestIdentity identity) {
        CrashSuspect request = identity.request();
        Optional<Duration> left = quarantine.tryAdmit(request, sendsTrials.getAsBoolean(), now());
        if (left.isPresent()) {
            announceRefusal(request);
        }
        return left;
    }

    // The announcement that cleared the request may have been lost, and the request would stay
    // quarantined here for minutes.
    private void announceRefusal(CrashSuspect request) {
        Instant last = lastRefusalAnnouncements.getOrDefault(request, Instant.MIN);
        if (now().isAfter(last.plus(REFUSAL_ANNOUNCEMENT_INTERVAL))) {
            lastRefusalAnnouncements.put(request, now());
            quarantine.find(request).ifPresent(announcer::announceRefused);
        }
    }

    /** Registers gauges of the watched, the undecided and the quarantined requests. */
    void registerGauges() {
        metrics.gauge("requests_watched", watched::size);
        metrics.gauge("requests_held", clearingTimers::size);
        metrics.gauge("requests_kept_out", quarantine::size);
    }

    /** Returns true if the request is quarantined, as a queued one may be by now. */
    boolean isQuarantined(RequestIdentity identity) {
        return quarantine.isQuarantined(identity.request(), now());
    }

    /** Returns true if the request has crashed upstreams before, so that sending it is a trial. */
    boolean hasQuarantineEntry(RequestIdentity identity) {
        return quarantine.contains(identity.request());
    }

    /** Returns true if the outcome of some request matters, so that answers must be recorded. */
    boolean needsOutcomes() {
        return !watched.isEmpty() || !quarantine.isEmpty() || now().isBefore(recordOutcomesUntil);
    }

    /** Records that the request sent at that time was answered in full with this status. */
    void recordAnswer(RequestIdentity identity, Instant sentAt, int status) {
        CrashSuspect request = identity.request();
        watched.removeExpired(now());
        if (isSuccess(status)) {
            recentOutcomes.recordSuccess(request, sentAt, now());
            recordSuccess(request, sentAt, status);
        } else {
            recordSurvivedRun(request, Integer.toString(status));
        }
    }

    private void recordSuccess(CrashSuspect request, Instant sentAt, int status) {
        Duration ago = Duration.between(sentAt, now());
        boolean quarantined = quarantine.contains(request);
        if (isTracked(request) && clear(request, ago)) {
            metrics.count("requests_cleared", "status", Integer.toString(status));
            LOG.info("{} is no longer suspect: answered with status {}", request, status);
            announcer.announceCleared(request, ago);
            if (quarantined) {
                announcer.removeStored(request);
            }
        }
    }

    private void recordSurvivedRun(CrashSuspect request, String status) {
        recentOutcomes.recordSurvivedRun(request);
        if (isTracked(request)) {
            metrics.count("requests_borne", "status", status);
            addSurvivedRuns(request, 1);
            announcer.announceSurvivedRuns(request, 1);
        }
    }

    private boolean isTracked(CrashSuspect request) {
        return watched.contains(request) || quarantine.contains(request);
    }

    // Only a success proves that the request ran; an upstream may fail a request before running it.
    private static boolean isSuccess(int status) {
        return status >= 200 && status < 300;
    }

    /** Records that the request sent at that time ran at the upstream without a complete answer. */
    void recordCutRun(
            Upstream upstream, RequestIdentity request, Instant sentAt, IncompleteRunCause how) {
        crashDetector.recordCutRun(upstream, request, sentAt, how);
    }

    /** Records that the upstream answered a request that was sent at that time. */
    void upstreamAnswered(Upstream upstream, Instant sentAt) {
        crashDetector.upstreamAnswered(upstream, sentAt);
    }

    /** Records that no connection to the upstream could be made. */
    void upstreamUnreachable(Upstream upstream) {
        crashDetector.upstreamUnreachable(upstream);
    }

    /** Records that the upstream has been removed from the list. */
    void upstreamRemoved(UpstreamId upstream) {
        crashDetector.upstreamRemoved(upstream);
    }

    /** Records an entry of the list, which may be of a newer incarnation of the upstream. */
    void upstreamListed(UpstreamFacts facts) {
        crashDetector.upstreamListed(facts);
    }

    /**
     * Records a crash that another router announced.
     *
     * @param passOn whether this router passes the announcement on to the others
     */
    void crashReceived(UpstreamCrash crash, boolean passOn) {
        if (crashDetector.crashReceived(crash)) {
            startRecordingOutcomes();
            if (passOn) {
                announcer.forwardCrash(crash);
            }
        }
    }

    private void startRecordingOutcomes() {
        recordOutcomesUntil = now().plus(OUTCOME_RECORDING_TIME);
    }

    private void reportCrash(UpstreamCrash crash, Duration ago, List<CrashedRun> runs) {
        startRecordingOutcomes();
        if (countsCrashes.getAsBoolean()) {
            countCrash(crash, ago, runs);
        }
        announcer.announceRunsAtCrash(crash, ago, runs);
    }

    /** Counts a crash that a router announced to this counting router, and what ran then. */
    void countCrash(UpstreamCrash crash, Duration ago, List<CrashedRun> runs) {
        logCommonSuspectsSoon(crash);
        Instant now = now();
        List<CrashSuspect> requests = runs.stream().map(run -> run.request().request()).toList();
        int before = countedCrashes(requests, now);
        suspects.recordCrash(crash, runs, now.minus(ago), now).forEach(this::suspectRequest);
        countIgnoredRuns(
                "together_with_others", requests.size() - (countedCrashes(requests, now) - before));
        for (CrashSuspect each : requests) {
            boolean nearly = suspects.countedCrashes(each, now) >= settings.crashThreshold() - 1;
            if (nearly && !watched.contains(each)) {
                watchRequest(each);
            }
        }
    }

    // Several routers report the runs at one crash, each within some milliseconds.
    private void logCommonSuspectsSoon(UpstreamCrash crash) {
        if (loggedCrashes.put(crash, true) == null) {
            control.after(REPORTS_COMPLETE_AFTER, () -> logCommonSuspects(crash));
        }
    }

    private void logCommonSuspects(UpstreamCrash crash) {
        List<String> common = suspects.describeMostCrashed(MAX_LOGGED_SUSPECTS, now());
        if (!common.isEmpty()) {
            LOG.info(
                    "crash of upstream {}: ran at most crashes without a success since: {}",
                    crash.upstream(),
                    common);
        }
    }

    private int countedCrashes(List<CrashSuspect> requests, Instant now) {
        return requests.stream().mapToInt(each -> suspects.countedCrashes(each, now)).sum();
    }

    private void countIgnoredRuns(String why, int runs) {
        if (runs > 0) {
            metrics.count("ends_not_counted", "why", why, runs);
        }
    }

    private void watchRequest(CrashSuspect request) {
        announcer.announceWatched(request);
        startWatching(request);
    }

    // A request that is repeated may run at several upstreams that crash for one unrelated reason.
    // Then it runs at others too, and one of them answers it within the clearing time.
    private void suspectRequest(CrashSuspect request) {
        if (quarantine.contains(request)) {
            quarantineRequest(request);
        } else if (!clearingTimers.containsKey(request)) {
            watchRequest(request);
            clearingTimers.put(
                    request,
                    control.after(clearingTime(request), () -> decideAfterClearingTime(request)));
        }
    }

    // If the crashes first looked like the failure of a rack, the request has already gone without
    // a success for part of the clearing time.
    private Duration clearingTime(CrashSuspect request) {
        Instant now = now();
        Duration left =
                suspects.thresholdReachedAt(request)
                        .map(at -> Duration.between(now, at.plus(CLEARING_TIME)))
                        .orElse(CLEARING_TIME);
        return left.compareTo(MIN_CLEARING_TIME) > 0 ? left : MIN_CLEARING_TIME;
    }

    private void decideAfterClearingTime(CrashSuspect request) {
        clearingTimers.remove(request);
        if (suspects.isPoisonRequest(request, now())) {
            quarantineRequest(request);
        }
    }

    private void quarantineRequest(CrashSuspect request) {
        quarantine
                .add(request, suspects.lastCrashAt(request), now())
                .ifPresent(this::quarantineRequest);
    }

    private void quarantineRequest(Quarantine.Entry entry) {
        LOG.warn(
                "{} is quarantined from all upstreams: it crashed {} of them",
                entry.suspect(),
                suspects.countedCrashes(entry.suspect(), now()));
        announcer.announceQuarantined(entry);
    }

    /** Merges a quarantine entry that another router announced. */
    void quarantineReceived(Quarantine.Entry entry) {
        Optional<Instant> success = successAfter(entry);
        if (success.isEmpty()) {
            mergeAnnounced(entry);
        } else if (countsCrashes.getAsBoolean()) {
            announcer.announceCleared(entry.suspect(), Duration.between(success.get(), now()));
            announcer.removeStored(entry.suspect());
        }
    }

    private void mergeAnnounced(Quarantine.Entry entry) {
        if (quarantine.merge(entry)) {
            LOG.warn("{} is quarantined, as another router reports", entry.suspect());
        }
    }

    // Returns when the successful run was sent that the other router does not know of. A request
    // that is quarantined here is so in spite of earlier successes.
    private Optional<Instant> successAfter(Quarantine.Entry entry) {
        if (quarantine.contains(entry.suspect())) {
            return Optional.empty();
        }
        return recentOutcomes
                .outcomeOf(entry.suspect())
                .lastSuccess()
                .map(RecentOutcomes.Success::sentAt)
                .filter(sentAt -> sentAt.isAfter(entry.lastCrashAt()));
    }

    /** Merges a quarantine that the store holds; the store does not say when it began. */
    void quarantineReadFromStore(CrashSuspect request, int trials) {
        Instant until = now().plus(settings.firstQuarantine());
        Quarantine.Entry entry = new Quarantine.Entry(request, until, trials, Instant.EPOCH);
        if (!quarantine.contains(request) && successAfter(entry).isEmpty()) {
            mergeAnnounced(entry);
        }
    }

    /** Watches a request that another router announced as one crash short of quarantine. */
    void startWatching(CrashSuspect request) {
        if (watched.add(request, now())) {
            announceRecentOutcome(request);
        }
    }

    private void announceRecentOutcome(CrashSuspect request) {
        RecentOutcomes.Outcome answers = recentOutcomes.outcomeOf(request);
        Instant now = now();
        answers.lastSuccess()
                .map(success -> Duration.between(success.answeredAt(), now))
                .ifPresent(ago -> announceEarlierSuccess(request, ago));
        if (answers.survivedRuns() > 0) {
            addSurvivedRuns(request, answers.survivedRuns());
            announcer.announceSurvivedRuns(request, answers.survivedRuns());
        }
    }

    private void announceEarlierSuccess(CrashSuspect request, Duration ago) {
        recordEarlierSuccess(request, ago);
        announcer.announceEarlierSuccess(request, ago);
    }

    /**
     * Records that the request, sent so long ago, has just been answered with a success somewhere.
     *
     * @return true unless the request stays quarantined
     */
    boolean clear(CrashSuspect request, Duration sentAgo) {
        if (!quarantine.recordSuccess(request, now().minus(sentAgo))) {
            return false;
        }
        watched.remove(request);
        recentOutcomes.recordSuccess(request, now().minus(sentAgo), now());
        recordEarlierSuccess(request, Duration.ZERO);
        return true;
    }

    /** Records a success so long ago at any router, from before the request was watched. */
    void recordEarlierSuccess(CrashSuspect request, Duration ago) {
        suspects.recordSuccess(request, now().minus(ago));
        if (!suspects.isPoisonRequest(request, now())) {
            Optional.ofNullable(clearingTimers.remove(request))
                    .ifPresent(ControlThread.Cancellable::cancel);
        }
    }

    /** Records this number of runs, at any router, that did not crash their upstream. */
    void addSurvivedRuns(CrashSuspect request, int times) {
        suspects.addSurvivedRuns(request, times);
    }

    /** Announces all quarantined requests, for routers that have just joined. */
    void announceQuarantine() {
        quarantine.entries().forEach(announcer::announceQuarantined);
    }

    private Instant now() {
        return control.clock().instant();
    }

    /** Announces the crashes and survived runs that this router detects. */
    private final class CrashListener implements UpstreamCrashDetector.Listener {
        @Override
        public void runsCrashed(UpstreamCrash crash, Duration ago, List<CrashedRun> runs) {
            reportCrash(crash, ago, runs);
        }

        @Override
        public void crashDetected(UpstreamCrash crash) {
            startRecordingOutcomes();
            announcer.announceCrash(crash);
        }

        @Override
        public void runSurvived(RequestIdentity request) {
            recordSurvivedRun(request.request(), "none");
        }
    }
}
