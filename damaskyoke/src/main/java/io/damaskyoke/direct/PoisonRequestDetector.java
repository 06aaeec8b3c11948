package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.LruMap;
import io.damaskyoke.control.crashes.CrashSettings;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RecentOutcomes;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.SuspectRequests;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.crashes.WatchedRequests;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Detects poison requests, which crash the upstreams that they are sent to, and quarantines them:
 * {@code watch.cut(upstream, digest, sentAt, how)} when a run is cut off, {@code
 * watch.refused(digest)} before a request is sent. Control thread only.
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
    private static final Duration HOLD = Duration.ofSeconds(2);

    /** How long the answers to a watched request are announced; a further crash restarts it. */
    private static final Duration WATCH = Duration.ofSeconds(30);

    /** How often a router that refuses a request announces this, in case it missed a success. */
    private static final Duration REMIND = Duration.ofSeconds(5);

    /** How long after a crash the outcomes of requests are recorded. */
    private static final Duration ALERT = Duration.ofSeconds(10);

    /** The most requests whose outcomes are recorded. */
    private static final int MOST_ANSWERED = 512;

    /** The shortest hold, which leaves other routers time to announce recent successes. */
    private static final Duration SHORTEST_HOLD = Duration.ofMillis(500);

    /** The most requests that are watched at a time; further ones are not recorded. */
    private static final int MOST_WATCHED = 512;

    private final ControlThread control;
    private final Metrics metrics;
    private final CrashAnnouncer news;
    private final BooleanSupplier counts;
    private final BooleanSupplier tries;
    private final CrashSettings settings = CrashSettings.defaults();
    private final SuspectRequests suspects = new SuspectRequests(settings);
    private final Quarantine quarantine = new Quarantine(settings);
    private final WatchedRequests watched = new WatchedRequests(MOST_WATCHED, WATCH);
    private final UpstreamCrashDetector ends;
    private final RecentOutcomes recent = new RecentOutcomes(MOST_ANSWERED);
    private final Map<RequestDigest, Instant> reminded = new LruMap<>(MOST_WATCHED);
    private Instant alertUntil = Instant.MIN;
    private final Map<RequestDigest, ControlThread.Cancellable> held = new HashMap<>();

    /**
     * Creates a watch without any known crash.
     *
     * @param counts whether this router is one of those that count crashes for the fleet
     * @param tries whether this router is the one that sends quarantined requests as a trial
     */
    PoisonRequestDetector(
            ControlThread control,
            CrashAnnouncer news,
            UpstreamCrashDetector.Prober prober,
            BooleanSupplier counts,
            BooleanSupplier tries,
            Metrics metrics) {
        this.control = control;
        this.metrics = metrics;
        this.news = news;
        this.ends = new UpstreamCrashDetector(control, prober, new EndListener(), metrics);
        this.counts = counts;
        this.tries = tries;
    }

    /** Returns true if no request is quarantined, so that none need be checked before a send. */
    boolean isQuarantineEmpty() {
        return quarantine.isEmpty();
    }

    /** Returns how long the request stays quarantined; empty if it may be sent, or as a trial. */
    Optional<Duration> tryAdmit(RequestDigest request) {
        Optional<Duration> left = quarantine.tryAdmit(request, tries.getAsBoolean(), now());
        if (left.isPresent()) {
            remind(request);
        }
        return left;
    }

    // The announcement that cleared the request may have been lost, and the request would stay
    // quarantined here for minutes.
    private void remind(RequestDigest request) {
        Instant last = reminded.getOrDefault(request, Instant.MIN);
        if (now().isAfter(last.plus(REMIND))) {
            reminded.put(request, now());
            quarantine.find(request).ifPresent(news::announceRefused);
        }
    }

    /** Registers gauges of the watched, the undecided and the quarantined requests. */
    void registerGauges() {
        metrics.gauge("requests_watched", watched::size);
        metrics.gauge("requests_held", held::size);
        metrics.gauge("requests_kept_out", quarantine::size);
    }

    /** Returns true if the request is quarantined, as a queued one may be by now. */
    boolean isQuarantined(RequestDigest request) {
        return quarantine.isQuarantined(request, now());
    }

    /** Returns true if the request has crashed upstreams before, so that sending it is a trial. */
    boolean hasQuarantineEntry(RequestDigest request) {
        return quarantine.contains(request);
    }

    /** Returns true if the outcome of some request matters, so that answers must be recorded. */
    boolean needsOutcomes() {
        return !watched.isEmpty() || !quarantine.isEmpty() || now().isBefore(alertUntil);
    }

    /** Records that the request sent at that time was answered in full with this status. */
    void recordAnswer(RequestDigest request, Instant sentAt, int status) {
        watched.removeExpired(now());
        if (success(status)) {
            recent.recordSuccess(request, sentAt, now());
            succeeded(request, sentAt, status);
        } else {
            borne(request, Integer.toString(status));
        }
    }

    private void succeeded(RequestDigest request, Instant sentAt, int status) {
        Duration ago = Duration.between(sentAt, now());
        boolean keptOut = quarantine.contains(request);
        if (matters(request) && clearRequest(request, ago)) {
            metrics.count("requests_cleared", "status", Integer.toString(status));
            LOG.info("request {} is no longer suspect: answered with status {}", request, status);
            news.announceCleared(request, ago);
            if (keptOut) {
                news.removeStored(request);
            }
        }
    }

    private void borne(RequestDigest request, String status) {
        recent.recordSurvivedRun(request);
        if (matters(request)) {
            metrics.count("requests_borne", "status", status);
            addSurvivedRuns(request, 1);
            news.announceSurvivedRuns(request, 1);
        }
    }

    private boolean matters(RequestDigest request) {
        return watched.contains(request) || quarantine.contains(request);
    }

    // Only a success proves that the request ran; an upstream may fail a request before running it.
    private static boolean success(int status) {
        return status >= 200 && status < 300;
    }

    /** Records that the request sent at that time ran at the upstream without a complete answer. */
    void recordCutRun(Upstream upstream, RequestDigest request, Instant sentAt, Cut how) {
        ends.recordCutRun(upstream, request, sentAt, how);
    }

    /** Records that the upstream answered a request that was sent at that time. */
    void upstreamAnswered(Upstream upstream, Instant sentAt) {
        ends.upstreamAnswered(upstream, sentAt);
    }

    /** Records that no connection to the upstream could be made. */
    void upstreamUnreachable(Upstream upstream) {
        ends.upstreamUnreachable(upstream);
    }

    /** Records that the upstream has been removed from the list. */
    void upstreamRemoved(UpstreamId upstream) {
        ends.upstreamRemoved(upstream);
    }

    /** Records an entry of the list, which may be of a newer incarnation of the upstream. */
    void upstreamListed(UpstreamFacts facts) {
        ends.upstreamListed(facts);
    }

    /**
     * Records a crash that another router announced.
     *
     * @param passOn whether this router passes the announcement on to the others
     */
    void crashReceived(UpstreamCrash end, boolean passOn) {
        if (ends.crashReceived(end)) {
            alert();
            if (passOn) {
                news.forwardCrash(end);
            }
        }
    }

    private void alert() {
        alertUntil = now().plus(ALERT);
    }

    private void tell(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {
        alert();
        if (counts.getAsBoolean()) {
            countCrash(end, ago, ran);
        }
        news.announceRunsAtCrash(end, ago, ran);
    }

    /** Counts a crash that a router announced to this counting router, and what ran then. */
    void countCrash(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {
        Instant now = now();
        int before = known(ran, now);
        suspects.recordCrash(end, ran, now.minus(ago), now).forEach(this::suspect);
        notCounted("together_with_others", ran.size() - (known(ran, now) - before));
        for (RequestDigest each : ran.keySet()) {
            boolean nearly = suspects.countedCrashes(each, now) >= settings.crashThreshold() - 1;
            if (nearly && !watched.contains(each)) {
                watch(each);
            }
        }
    }

    private int known(Map<RequestDigest, Duration> ran, Instant now) {
        return ran.keySet().stream().mapToInt(each -> suspects.countedCrashes(each, now)).sum();
    }

    private void notCounted(String why, int runs) {
        if (runs > 0) {
            metrics.count("ends_not_counted", "why", why, runs);
        }
    }

    private void watch(RequestDigest request) {
        news.announceWatched(request);
        startWatching(request);
    }

    // A request that is repeated may run at several upstreams that crash for one unrelated reason.
    // Then it runs at others too, and one of them answers it within the hold.
    private void suspect(RequestDigest request) {
        if (quarantine.contains(request)) {
            keepOut(request);
        } else if (!held.containsKey(request)) {
            watch(request);
            held.put(request, control.after(hold(request), () -> decide(request)));
        }
    }

    // If the crashes first looked like the failure of a rack, the request has already gone without
    // a success for part of the hold.
    private Duration hold(RequestDigest request) {
        Instant now = now();
        Duration left =
                suspects.thresholdReachedAt(request)
                        .map(at -> Duration.between(now, at.plus(HOLD)))
                        .orElse(HOLD);
        return left.compareTo(SHORTEST_HOLD) > 0 ? left : SHORTEST_HOLD;
    }

    private void decide(RequestDigest request) {
        held.remove(request);
        if (suspects.isPoisonRequest(request, now())) {
            keepOut(request);
        }
    }

    private void keepOut(RequestDigest request) {
        quarantine.add(request, suspects.lastCrashAt(request), now()).ifPresent(this::keepOut);
    }

    private void keepOut(Quarantine.Entry entry) {
        LOG.warn(
                "request {} is quarantined from all upstreams: it crashed {} of them",
                entry.request(),
                suspects.countedCrashes(entry.request(), now()));
        news.announceQuarantined(entry);
    }

    /** Merges a quarantine entry that another router announced. */
    void quarantineReceived(Quarantine.Entry entry) {
        Optional<Instant> success = successAfter(entry);
        if (success.isEmpty()) {
            take(entry);
        } else if (counts.getAsBoolean()) {
            news.announceCleared(entry.request(), Duration.between(success.get(), now()));
            news.removeStored(entry.request());
        }
    }

    private void take(Quarantine.Entry entry) {
        if (quarantine.merge(entry)) {
            LOG.warn("request {} is quarantined, as another router reports", entry.request());
        }
    }

    // Returns when the successful run was sent that the other router does not know of. A request
    // that is quarantined here is so in spite of earlier successes.
    private Optional<Instant> successAfter(Quarantine.Entry entry) {
        if (quarantine.contains(entry.request())) {
            return Optional.empty();
        }
        return recent.outcomeOf(entry.request())
                .lastSuccess()
                .map(RecentOutcomes.Success::sentAt)
                .filter(sentAt -> sentAt.isAfter(entry.lastCrashAt()));
    }

    /** Merges a quarantine that the store holds; the store does not say when it began. */
    void quarantineReadFromStore(RequestDigest request, int trials) {
        Instant until = now().plus(settings.firstQuarantine());
        Quarantine.Entry entry = new Quarantine.Entry(request, until, trials, Instant.EPOCH);
        if (!quarantine.contains(request) && successAfter(entry).isEmpty()) {
            take(entry);
        }
    }

    /** Watches a request that another router announced as one crash short of quarantine. */
    void startWatching(RequestDigest request) {
        if (watched.add(request, now())) {
            tellRecent(request);
        }
    }

    private void tellRecent(RequestDigest request) {
        RecentOutcomes.Outcome answers = recent.outcomeOf(request);
        Instant now = now();
        answers.lastSuccess()
                .map(success -> Duration.between(success.answeredAt(), now))
                .ifPresent(ago -> tellSucceededBefore(request, ago));
        if (answers.survivedRuns() > 0) {
            addSurvivedRuns(request, answers.survivedRuns());
            news.announceSurvivedRuns(request, answers.survivedRuns());
        }
    }

    private void tellSucceededBefore(RequestDigest request, Duration ago) {
        recordEarlierSuccess(request, ago);
        news.announceEarlierSuccess(request, ago);
    }

    /**
     * Records that the request, sent so long ago, has just been answered with a success somewhere.
     *
     * @return true unless the request stays quarantined
     */
    boolean clearRequest(RequestDigest request, Duration sentAgo) {
        if (!quarantine.recordSuccess(request, now().minus(sentAgo))) {
            return false;
        }
        watched.remove(request);
        recent.recordSuccess(request, now().minus(sentAgo), now());
        recordEarlierSuccess(request, Duration.ZERO);
        return true;
    }

    /** Records a success so long ago at any router, from before the request was watched. */
    void recordEarlierSuccess(RequestDigest request, Duration ago) {
        suspects.recordSuccess(request, now().minus(ago));
        if (!suspects.isPoisonRequest(request, now())) {
            Optional.ofNullable(held.remove(request)).ifPresent(ControlThread.Cancellable::cancel);
        }
    }

    /** Records this number of runs, at any router, that did not crash their upstream. */
    void addSurvivedRuns(RequestDigest request, int times) {
        suspects.addSurvivedRuns(request, times);
    }

    /** Announces all quarantined requests, for routers that have just joined. */
    void announceQuarantine() {
        quarantine.entries().forEach(news::announceQuarantined);
    }

    private Instant now() {
        return control.clock().instant();
    }

    /** Announces the crashes and survived runs that this router detects. */
    private final class EndListener implements UpstreamCrashDetector.Listener {
        @Override
        public void runsCrashed(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {
            tell(end, ago, ran);
        }

        @Override
        public void crashDetected(UpstreamCrash end) {
            alert();
            news.announceCrash(end);
        }

        @Override
        public void runSurvived(RequestDigest request) {
            borne(request, "none");
        }
    }
}
