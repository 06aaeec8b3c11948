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
 * Keeps requests from upstreams under which several of them have ended: {@code
 * watch.broke(upstream, digest)} when a connection breaks, {@code watch.refused(digest)} before a
 * send. Control thread only.
 *
 * <p>What ran at an upstream when it ended ({@link UpstreamEnds}) is told to the routers that
 * count. They hold a request to be the cause by what several ends have in common.
 */
final class CrashWatch {
    private static final Logger LOG = LogManager.getLogger(CrashWatch.class);

    /**
     * A request under which enough upstreams have ended is kept out after this, unless somebody
     * answers it in full meanwhile. All routers have to know three seconds after the third end.
     */
    private static final Duration HOLD = Duration.ofSeconds(2);

    /** So long each answer to a watched request is told; another end makes it begin anew. */
    private static final Duration WATCH = Duration.ofSeconds(30);

    /** A router that refuses a request asks so often whether it should. */
    private static final Duration REMIND = Duration.ofSeconds(5);

    /** After an end, what becomes of requests is remembered for so long. */
    private static final Duration ALERT = Duration.ofSeconds(10);

    /** Requests whose answers are remembered. */
    private static final int MOST_ANSWERED = 512;

    /** At least so long, for what other routers remember of it. */
    private static final Duration SHORTEST_HOLD = Duration.ofMillis(500);

    /** Watched requests beyond this are not remembered. */
    private static final int MOST_WATCHED = 512;

    private final ControlThread control;
    private final Metrics metrics;
    private final CrashNews news;
    private final BooleanSupplier counts;
    private final BooleanSupplier tries;
    private final CrashSettings settings = CrashSettings.defaults();
    private final SuspectRequests suspects = new SuspectRequests(settings);
    private final Quarantine quarantine = new Quarantine(settings);
    private final WatchedRequests watched = new WatchedRequests(MOST_WATCHED, WATCH);
    private final UpstreamEnds ends;
    private final RecentOutcomes recent = new RecentOutcomes(MOST_ANSWERED);
    private final Map<RequestDigest, Instant> reminded = new LruMap<>(MOST_WATCHED);
    private Instant alertUntil = Instant.MIN;
    private final Map<RequestDigest, ControlThread.Cancellable> held = new HashMap<>();

    /**
     * {@code counts} tells whether this router is one of those that count for all, and {@code
     * tries} whether it is the one that tries again.
     */
    CrashWatch(
            ControlThread control,
            CrashNews news,
            UpstreamEnds.Prober prober,
            BooleanSupplier counts,
            BooleanSupplier tries,
            Metrics metrics) {
        this.control = control;
        this.metrics = metrics;
        this.news = news;
        this.ends = new UpstreamEnds(control, prober, new EndListener(), metrics);
        this.counts = counts;
        this.tries = tries;
    }

    /** True if a request need not be looked at before it is sent. */
    boolean idle() {
        return quarantine.isEmpty();
    }

    /** How long the request is kept from all upstreams; empty if it may go, perhaps as a trial. */
    Optional<Duration> refused(RequestDigest request) {
        Optional<Duration> left = quarantine.tryAdmit(request, tries.getAsBoolean(), now());
        if (left.isPresent()) {
            remind(request);
        }
        return left;
    }

    // Word that it is cleared may not have come here, and would be missed for minutes.
    private void remind(RequestDigest request) {
        Instant last = reminded.getOrDefault(request, Instant.MIN);
        if (now().isAfter(last.plus(REMIND))) {
            reminded.put(request, now());
            quarantine.find(request).ifPresent(news::refused);
        }
    }

    /** Shows how many requests are watched, held until that is decided, and kept out. */
    void show() {
        metrics.gauge("requests_watched", watched::size);
        metrics.gauge("requests_held", held::size);
        metrics.gauge("requests_kept_out", quarantine::size);
    }

    /** True if it is kept from all upstreams; a request that waited may be so by now. */
    boolean keepsOut(RequestDigest request) {
        return quarantine.isQuarantined(request, now());
    }

    /** True if it has ended upstreams before, so that letting it go is a trial. */
    boolean knows(RequestDigest request) {
        return quarantine.contains(request);
    }

    /** True if an answer to some request would be news. */
    boolean awaitsAnswers() {
        return !watched.isEmpty() || !quarantine.isEmpty() || now().isBefore(alertUntil);
    }

    /** The request, sent at that time, was answered in full with this status. */
    void answered(RequestDigest request, Instant sentAt, int status) {
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
        if (matters(request) && toldCleared(request, ago)) {
            metrics.count("requests_cleared", "status", Integer.toString(status));
            LOG.info("request {} is cleared, answered with {}", request, status);
            news.cleared(request, ago);
            if (keptOut) {
                news.released(request);
            }
        }
    }

    private void borne(RequestDigest request, String status) {
        recent.recordSurvivedRun(request);
        if (matters(request)) {
            metrics.count("requests_borne", "status", status);
            toldBorne(request, 1);
            news.borne(request, 1);
        }
    }

    private boolean matters(RequestDigest request) {
        return watched.contains(request) || quarantine.contains(request);
    }

    // Only a success proves that the request has run; an upstream may fail it before it does.
    private static boolean success(int status) {
        return status >= 200 && status < 300;
    }

    /** The request, sent at that time, ran at the upstream and came to no whole answer there. */
    void cut(Upstream upstream, RequestDigest request, Instant sentAt, IncompleteRunCause how) {
        ends.cut(upstream, request, sentAt, how);
    }

    /** The upstream has answered something that was sent then. */
    void answers(Upstream upstream, Instant sentAt) {
        ends.answered(upstream, sentAt);
    }

    /** No connection to the upstream could be made. */
    void unreachable(Upstream upstream) {
        ends.unreachable(upstream);
    }

    /** The list has the upstream no longer. */
    void gone(UpstreamId upstream) {
        ends.gone(upstream);
    }

    /** The list says something of the upstream, perhaps of its next life. */
    void listed(UpstreamFacts facts) {
        ends.listed(facts);
    }

    /** Another router has found out that an upstream has ended; {@code passOn} if others wait. */
    void toldEnd(UpstreamCrash end, boolean passOn) {
        if (ends.told(end)) {
            alert();
            if (passOn) {
                news.passEndOn(end);
            }
        }
    }

    private void alert() {
        alertUntil = now().plus(ALERT);
    }

    private void tell(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {
        alert();
        if (counts.getAsBoolean()) {
            told(end, ago, ran);
        }
        news.ended(end, ago, ran);
    }

    /** A router tells of an upstream's end, to this one that counts. */
    void told(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {
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
        news.watched(request);
        toldWatched(request);
    }

    // A request that is asked again and again may run at several upstreams that end for one reason.
    // Then it runs at others too, and one of them answers it in this time.
    private void suspect(RequestDigest request) {
        if (quarantine.contains(request)) {
            keepOut(request);
        } else if (!held.containsKey(request)) {
            watch(request);
            held.put(request, control.after(hold(request), () -> decide(request)));
        }
    }

    // Where the ends first looked like those of a rack, it has gone without a success for long.
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
                "request {} is kept from all upstreams: {} have ended under it",
                entry.request(),
                suspects.countedCrashes(entry.request(), now()));
        news.keptOut(entry);
    }

    /** Another router keeps a request out. */
    void told(Quarantine.Entry entry) {
        Optional<Instant> success = successAfter(entry);
        if (success.isEmpty()) {
            take(entry);
        } else if (counts.getAsBoolean()) {
            news.cleared(entry.request(), Duration.between(success.get(), now()));
            news.released(entry.request());
        }
    }

    private void take(Quarantine.Entry entry) {
        if (quarantine.merge(entry)) {
            LOG.warn("request {} is kept from all upstreams, as is told", entry.request());
        }
    }

    // When the run was sent whose success the other router does not know of. What is kept out here
    // is so in spite of earlier successes.
    private Optional<Instant> successAfter(Quarantine.Entry entry) {
        if (quarantine.contains(entry.request())) {
            return Optional.empty();
        }
        return recent.outcomeOf(entry.request())
                .lastSuccess()
                .map(RecentOutcomes.Success::sentAt)
                .filter(sentAt -> sentAt.isAfter(entry.lastCrashAt()));
    }

    /** The store holds that the request is kept out; when that began, it does not tell. */
    void toldByStore(RequestDigest request, int trials) {
        Instant until = now().plus(settings.firstQuarantine());
        Quarantine.Entry entry = new Quarantine.Entry(request, until, trials, Instant.EPOCH);
        if (!quarantine.contains(request) && successAfter(entry).isEmpty()) {
            take(entry);
        }
    }

    /** Another router says that one more end would be enough. */
    void toldWatched(RequestDigest request) {
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
            toldBorne(request, answers.survivedRuns());
            news.borne(request, answers.survivedRuns());
        }
    }

    private void tellSucceededBefore(RequestDigest request, Duration ago) {
        toldSucceededBefore(request, ago);
        news.succeededBefore(request, ago);
    }

    /**
     * The request, sent so long ago, has just been answered with a success somewhere.
     *
     * @return true unless it stays kept out
     */
    boolean toldCleared(RequestDigest request, Duration sentAgo) {
        if (!quarantine.recordSuccess(request, now().minus(sentAgo))) {
            return false;
        }
        watched.remove(request);
        recent.recordSuccess(request, now().minus(sentAgo), now());
        toldSucceededBefore(request, Duration.ZERO);
        return true;
    }

    /** The request was answered with a success so long ago, somewhere, before it was watched. */
    void toldSucceededBefore(RequestDigest request, Duration ago) {
        suspects.recordSuccess(request, now().minus(ago));
        if (!suspects.isPoisonRequest(request, now())) {
            Optional.ofNullable(held.remove(request)).ifPresent(ControlThread.Cancellable::cancel);
        }
    }

    /** Upstreams took the request so often and did not end, somewhere. */
    void toldBorne(RequestDigest request, int times) {
        suspects.addSurvivedRuns(request, times);
    }

    /** Tells all that is kept out, to routers that have just come. */
    void tellAll() {
        quarantine.entries().forEach(news::keptOut);
    }

    private Instant now() {
        return control.clock().instant();
    }

    /** Passes on what is known of ends. */
    private final class EndListener implements UpstreamEnds.Listener {
        @Override
        public void ended(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {
            tell(end, ago, ran);
        }

        @Override
        public void found(UpstreamCrash end) {
            alert();
            news.found(end);
        }

        @Override
        public void survived(RequestDigest request) {
            borne(request, "none");
        }
    }
}
