package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.LruMap;
import io.damaskyoke.control.crashes.CrashSettings;
import io.damaskyoke.control.crashes.CrashSuspect;
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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Detects what crashes upstreams, a request that is sent again or a part that prompts share, and
 * quarantines it: {@code detector.recordCutRun(upstream, request, sentAt, how)} when a run is cut
 * off, {@code detector.tryAdmit(request)} before a request is sent. Control thread only.
 *
 * <p>{@link UpstreamCrashDetector} finds out which requests ran at an upstream when it crashed.
 * That is announced to the counting routers, each of which has a {@link CrashCauseFinder}.
 */
public final class PoisonRequestDetector {
    private static final Logger LOG = LogManager.getLogger(PoisonRequestDetector.class);

    /** How long the answers to a watched suspect are announced; a further crash restarts it. */
    private static final Duration WATCH_TIME = Duration.ofSeconds(30);

    /** How often a router that refuses a suspect announces this, in case it missed a success. */
    private static final Duration REFUSAL_ANNOUNCEMENT_INTERVAL = Duration.ofSeconds(5);

    /** How often a router announces its last success of a suspect when it is asked for it. */
    private static final Duration SUCCESS_ANNOUNCEMENT_INTERVAL = Duration.ofMillis(150);

    /** How long after a crash, or after the start, the outcomes of requests are recorded. */
    private static final Duration OUTCOME_RECORDING_TIME = Duration.ofSeconds(10);

    /** The most requests whose outcomes are recorded. */
    private static final int MAX_RECORDED_REQUESTS = 512;

    /** The most prompt parts whose outcomes are recorded; those that are in use are kept. */
    private static final int MAX_RECORDED_PARTS = 2_048;

    /** The most suspects that are watched at a time; further ones are not recorded. */
    private static final int MAX_WATCHED = 512;

    private final ControlThread control;
    private final Metrics metrics;
    private final CrashAnnouncer announcer;
    private final BooleanSupplier countsCrashes;
    private final BooleanSupplier sendsTrials;
    private final Quarantine quarantine;
    private final WatchedSuspects watched = new WatchedSuspects(MAX_WATCHED, WATCH_TIME);
    private final UpstreamCrashDetector crashDetector;
    private final CrashCauseFinder causeFinder;
    private final RecentOutcomes requestOutcomes = new RecentOutcomes(MAX_RECORDED_REQUESTS);
    private final RecentOutcomes partOutcomes = new RecentOutcomes(MAX_RECORDED_PARTS);
    private final Map<CrashSuspect, Instant> lastRefusalAnnouncements = new LruMap<>(MAX_WATCHED);
    private final Map<CrashSuspect, Instant> lastSuccessAnnouncements = new LruMap<>(MAX_WATCHED);
    private Instant recordOutcomesUntil;

    /**
     * Creates a detector without any known crash.
     *
     * @param countsCrashes whether this router is one of those that count crashes for the fleet
     * @param sendsTrials whether this router is the one that sends quarantined requests as a trial
     */
    public PoisonRequestDetector(
            ControlThread control,
            CrashAnnouncer announcer,
            UpstreamCrashDetector.Prober prober,
            BooleanSupplier countsCrashes,
            BooleanSupplier sendsTrials,
            Metrics metrics) {
        CrashSettings settings = CrashSettings.defaults();
        this.control = control;
        this.metrics = metrics;
        this.announcer = announcer;
        this.quarantine = new Quarantine(settings);
        this.crashDetector =
                new UpstreamCrashDetector(control, prober, new CrashListener(), metrics);
        this.causeFinder = new CrashCauseFinder(control, settings, new CauseListener(), metrics);
        this.countsCrashes = countsCrashes;
        this.sendsTrials = sendsTrials;
        // Upstreams may have crashed just before this router started.
        startRecordingOutcomes();
    }

    /** Registers gauges of the watched, the undecided and the quarantined suspects. */
    public void registerGauges() {
        metrics.gauge("requests_watched", watched::size);
        metrics.gauge("requests_held", causeFinder::heldCount);
        metrics.gauge("requests_kept_out", quarantine::size);
    }

    /** Returns true if nothing is quarantined, so that no request need be checked before a send. */
    public boolean isQuarantineEmpty() {
        return quarantine.isEmpty();
    }

    /** Returns how long the request stays quarantined; empty if it may be sent, or as a trial. */
    public Optional<Duration> tryAdmit(RequestIdentity request) {
        List<CrashSuspect> quarantined = quarantinedSuspects(request);
        if (quarantined.isEmpty()) {
            return Optional.empty();
        }
        // The outcome of a trial with several quarantined suspects would prove nothing of either.
        boolean mayBeTrial = quarantined.size() == 1 && sendsTrials.getAsBoolean();
        CrashSuspect suspect = quarantined.get(0);
        Optional<Duration> left = quarantine.tryAdmit(suspect, mayBeTrial, now());
        if (left.isPresent()) {
            announceRefusal(suspect);
        } else {
            LOG.info("{} is sent to an upstream as a trial", suspect);
            quarantine.find(suspect).ifPresent(announcer::announceQuarantined);
        }
        return left;
    }

    /** Returns the request and those of its prompt parts that are quarantined or on trial. */
    public List<CrashSuspect> quarantinedSuspects(RequestIdentity request) {
        return request.suspects().stream().filter(quarantine::contains).toList();
    }

    // The announcement that cleared the suspect may have been lost, and the suspect would stay
    // quarantined here for minutes.
    private void announceRefusal(CrashSuspect suspect) {
        Instant last = lastRefusalAnnouncements.getOrDefault(suspect, Instant.MIN);
        if (now().isAfter(last.plus(REFUSAL_ANNOUNCEMENT_INTERVAL))) {
            lastRefusalAnnouncements.put(suspect, now());
            quarantine.find(suspect).ifPresent(announcer::announceRefused);
        }
    }

    /** Returns true if the request is quarantined, as a queued one may be by now. */
    public boolean isQuarantined(RequestIdentity request) {
        return request.suspects().stream().anyMatch(each -> quarantine.isQuarantined(each, now()));
    }

    /** Returns true if the outcome of some request matters, so that answers must be recorded. */
    public boolean needsOutcomes() {
        return !watched.isEmpty() || !quarantine.isEmpty() || now().isBefore(recordOutcomesUntil);
    }

    /**
     * Records that a request with these prompt parts, sent at that time, has succeeded. Recorded at
     * all times, as a part that has succeeded before is rarely the cause of a crash.
     */
    public void recordSuccess(List<CrashSuspect> promptParts, Instant sentAt) {
        promptParts.forEach(each -> partOutcomes.recordSuccess(each, sentAt, now()));
    }

    /** Records that the request sent at that time was answered in full with this status. */
    public void recordAnswer(RequestIdentity request, Instant sentAt, int status) {
        watched.removeExpired(now());
        for (CrashSuspect each : request.suspects()) {
            if (isSuccess(status)) {
                recordSuccess(each, sentAt, status);
            } else {
                recordSurvivedRun(each, Integer.toString(status));
            }
        }
    }

    private void recordSuccess(CrashSuspect suspect, Instant sentAt, int status) {
        outcomesOf(suspect).recordSuccess(suspect, sentAt, now());
        causeFinder.recordSuccess(suspect, now());
        Duration ago = Duration.between(sentAt, now());
        boolean quarantined = quarantine.contains(suspect);
        if (isTracked(suspect) && clear(suspect, ago)) {
            metrics.count("requests_cleared", "status", Integer.toString(status));
            LOG.info("{} is no longer suspect: answered with status {}", suspect, status);
            announcer.announceCleared(suspect, ago);
            if (quarantined) {
                announcer.removeStored(suspect);
            }
        }
    }

    private RecentOutcomes outcomesOf(CrashSuspect suspect) {
        return suspect.isPromptPart() ? partOutcomes : requestOutcomes;
    }

    private void recordSurvivedRun(CrashSuspect suspect, String status) {
        outcomesOf(suspect).recordSurvivedRun(suspect);
        if (isTracked(suspect)) {
            metrics.count("requests_borne", "status", status);
            addSurvivedRuns(suspect, 1);
            announcer.announceSurvivedRuns(suspect, 1);
        }
    }

    private boolean isTracked(CrashSuspect suspect) {
        return watched.contains(suspect) || quarantine.contains(suspect);
    }

    // Only a success proves that the request ran; an upstream may fail a request before running it.
    private static boolean isSuccess(int status) {
        return status >= 200 && status < 300;
    }

    /** Records that the request sent at that time ran at the upstream without a complete answer. */
    public void recordCutRun(
            Upstream upstream, RequestIdentity request, Instant sentAt, IncompleteRunCause how) {
        crashDetector.recordCutRun(upstream, request, sentAt, how);
    }

    /** Records that the upstream answered a request that was sent at that time. */
    public void upstreamAnswered(Upstream upstream, Instant sentAt) {
        crashDetector.upstreamAnswered(upstream, sentAt);
    }

    /** Records that no connection to the upstream could be made. */
    public void upstreamUnreachable(Upstream upstream) {
        crashDetector.upstreamUnreachable(upstream);
    }

    /** Records that the upstream has been removed from the list. */
    public void upstreamRemoved(UpstreamId upstream) {
        crashDetector.upstreamRemoved(upstream);
    }

    /** Records an entry of the list, which may be of a newer incarnation of the upstream. */
    public void upstreamListed(UpstreamFacts facts) {
        crashDetector.upstreamListed(facts);
    }

    /**
     * Records a crash that another router announced.
     *
     * @param passOn whether this router passes the announcement on to the others
     */
    public void crashReceived(UpstreamCrash crash, boolean passOn) {
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
    public void countCrash(UpstreamCrash crash, Duration ago, List<CrashedRun> runs) {
        causeFinder.countCrash(crash, ago, runs, this::lastSuccess);
    }

    private Optional<Instant> lastSuccess(CrashSuspect suspect) {
        return outcomesOf(suspect)
                .outcomeOf(suspect)
                .lastSuccess()
                .map(RecentOutcomes.Success::answeredAt);
    }

    /** Merges a quarantine entry that another router announced. */
    public void quarantineReceived(Quarantine.Entry entry) {
        Optional<Instant> success = successAfter(entry);
        if (success.isEmpty()) {
            mergeAnnounced(entry);
        } else if (countsCrashes.getAsBoolean()) {
            announcer.announceCleared(entry.suspect(), Duration.between(success.get(), now()));
            announcer.removeStored(entry.suspect());
        }
    }

    private void mergeAnnounced(Quarantine.Entry entry) {
        boolean known = quarantine.contains(entry.suspect());
        if (quarantine.merge(entry) && !known) {
            LOG.warn("{} is quarantined, as another router reports", entry.suspect());
        }
    }

    // Returns when the successful run was sent that the other router does not know of. A suspect
    // that is quarantined here is so in spite of earlier successes.
    private Optional<Instant> successAfter(Quarantine.Entry entry) {
        if (quarantine.contains(entry.suspect())) {
            return Optional.empty();
        }
        return outcomesOf(entry.suspect())
                .outcomeOf(entry.suspect())
                .lastSuccess()
                .map(RecentOutcomes.Success::sentAt)
                .filter(sentAt -> sentAt.isAfter(entry.lastCrashAt()));
    }

    /** Merges a quarantine that the store holds; the store does not say when it began. */
    public void quarantineReadFromStore(CrashSuspect suspect, int trials) {
        Instant until = now().plus(quarantine.quarantineTime(suspect, trials));
        Quarantine.Entry entry = new Quarantine.Entry(suspect, until, trials, Instant.EPOCH);
        if (!quarantine.contains(suspect) && successAfter(entry).isEmpty()) {
            mergeAnnounced(entry);
        }
    }

    /**
     * Watches a suspect that another router announced as one crash short of quarantine, and
     * announces its last success that this router knows.
     */
    public void startWatching(CrashSuspect suspect) {
        boolean added = watched.add(suspect, now());
        RecentOutcomes.Outcome known = outcomesOf(suspect).outcomeOf(suspect);
        if (added || isSuccessAnnouncementDue(suspect)) {
            lastSuccessAnnouncements.put(suspect, now());
            known.lastSuccess()
                    .map(success -> Duration.between(success.answeredAt(), now()))
                    .ifPresent(ago -> announceEarlierSuccess(suspect, ago));
        }
        if (added && known.survivedRuns() > 0) {
            addSurvivedRuns(suspect, known.survivedRuns());
            announcer.announceSurvivedRuns(suspect, known.survivedRuns());
        }
    }

    // All counting routers ask at about the same time.
    private boolean isSuccessAnnouncementDue(CrashSuspect suspect) {
        Instant last = lastSuccessAnnouncements.getOrDefault(suspect, Instant.MIN);
        return now().isAfter(last.plus(SUCCESS_ANNOUNCEMENT_INTERVAL));
    }

    private void announceEarlierSuccess(CrashSuspect suspect, Duration ago) {
        recordEarlierSuccess(suspect, ago);
        announcer.announceEarlierSuccess(suspect, ago);
    }

    /**
     * Records that a request of the suspect, sent so long ago, has just been answered with a
     * success somewhere.
     *
     * @return true unless the suspect stays quarantined
     */
    public boolean clear(CrashSuspect suspect, Duration sentAgo) {
        if (!quarantine.recordSuccess(suspect, now().minus(sentAgo))) {
            return false;
        }
        watched.remove(suspect);
        outcomesOf(suspect).recordSuccess(suspect, now().minus(sentAgo), now());
        recordEarlierSuccess(suspect, Duration.ZERO);
        return true;
    }

    /** Records a success so long ago at any router, from before the suspect was watched. */
    public void recordEarlierSuccess(CrashSuspect suspect, Duration ago) {
        causeFinder.recordSuccess(suspect, now().minus(ago));
    }

    /** Records this number of runs, at any router, that did not crash their upstream. */
    public void addSurvivedRuns(CrashSuspect suspect, int times) {
        causeFinder.addSurvivedRuns(suspect, times);
    }

    /** Announces all quarantined suspects, for routers that have just joined. */
    public void announceQuarantine() {
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
            request.suspects().forEach(each -> recordSurvivedRun(each, "none"));
        }
    }

    /** Watches and quarantines what this router, as a counting router, suspects and finds. */
    private final class CauseListener implements CrashCauseFinder.Listener {
        @Override
        public void suspected(CrashSuspect suspect, boolean again) {
            if (again || !watched.contains(suspect)) {
                announcer.announceWatched(suspect);
                startWatching(suspect);
            }
        }

        @Override
        public void causeFound(CrashSuspect suspect, int crashes, Instant lastCrashAt) {
            boolean newCrash =
                    quarantine
                            .find(suspect)
                            .map(known -> lastCrashAt.isAfter(known.lastCrashAt()))
                            .orElse(true);
            if (newCrash) {
                quarantine
                        .add(suspect, lastCrashAt, now())
                        .ifPresent(entry -> announceQuarantined(entry, crashes));
            }
        }

        private void announceQuarantined(Quarantine.Entry entry, int crashes) {
            LOG.warn(
                    "{} is quarantined from all upstreams: it crashed {} of them",
                    entry.suspect(),
                    crashes);
            announcer.announceQuarantined(entry);
        }

        @Override
        public boolean isKnownCause(CrashSuspect suspect) {
            return quarantine.contains(suspect);
        }
    }
}
