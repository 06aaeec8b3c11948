package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.LruMap;
import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.RequestIdentity;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Detects crashes of upstreams and reports the requests that ran there: {@code
 * detector.recordCutRun(upstream, request, sentAt, how)}. Control thread only.
 *
 * <p>An upstream that crashes on a request need not break its connection: the caller may have left
 * a moment before, the request may have timed out, the connection may have been silent. So a router
 * records for some seconds the runs without a complete answer, for whatever reason, and reports
 * them when it knows that this incarnation of the upstream has crashed: its address refuses
 * connections, or the list no longer has it or has another incarnation.
 */
public final class UpstreamCrashDetector {
    private static final Logger LOG = LogManager.getLogger(UpstreamCrashDetector.class);

    /** Connections that break together cause one probe; the address refuses by then. */
    private static final Duration FIRST_PROBE_DELAY = Duration.ofMillis(30);

    /**
     * The delays of further probes after one that shows no crash: news of it may still be on its
     * way from another zone, or the upstream's successor may be up already.
     */
    private static final List<Duration> REPEATED_PROBE_DELAYS =
            List.of(Duration.ofMillis(220), Duration.ofMillis(450));

    /**
     * An upstream whose connection was closed has dropped the request by then, or crashes on it.
     */
    private static final Duration PROBE_DELAY_AFTER_CLOSING = Duration.ofMillis(600);

    /** How long cut runs are recorded; the list drops a crashed upstream after some heartbeats. */
    private static final Duration RUN_RETENTION = Duration.ofSeconds(10);

    /** A run that was canceled this long before a crash did not cause it. */
    private static final Duration MAX_CANCELED_BEFORE_CRASH = Duration.ofSeconds(1);

    /** A crashed upstream is not back sooner than this. */
    private static final Duration MIN_RESTART_TIME = Duration.ofSeconds(2);

    /** The most crashes recorded, for runs that are cut off later because they were silent. */
    private static final int MAX_KNOWN_CRASHES = 256;

    /** The most runs recorded per upstream: those in progress and a few that were canceled. */
    private static final int MAX_RUNS = 512;

    private final ControlThread control;
    private final Metrics metrics;
    private final Prober prober;
    private final Listener listener;
    private final Map<UpstreamCrash, Incarnation> incarnations = new HashMap<>();
    private final Map<UpstreamCrash, Instant> knownCrashes = new LruMap<>(MAX_KNOWN_CRASHES);
    private final Set<UpstreamCrash> scheduledProbes = new HashSet<>();
    private final Set<UpstreamCrash> delayedProbes = new HashSet<>();

    /** The result of a probe of an upstream. */
    public enum ProbeResult {
        /** The upstream has crashed: its address refuses connections. */
        CRASHED,
        /** The upstream is up: it accepts connections, or has kept some open. */
        ALIVE,
        /** The probe has no result either way. */
        UNKNOWN
    }

    /** Probes whether an upstream has crashed. */
    public interface Prober {
        /**
         * Connects to the upstream and passes on the result.
         *
         * @param vouch whether a connection that is still open proves the upstream up instead
         */
        void probe(Upstream upstream, boolean vouch, Consumer<ProbeResult> then);
    }

    /** Receives the crashes of upstreams and the requests that ran there. */
    interface Listener {
        /** Reports the runs that were at the upstream when it crashed, so long ago. */
        void runsCrashed(UpstreamCrash crash, Duration ago, List<CrashedRun> runs);

        /** Reports that this router detected the crash, of which others may not know. */
        void crashDetected(UpstreamCrash crash);

        /** Reports that the upstream has answered since, so that it survived the canceled run. */
        void runSurvived(RequestIdentity request);
    }

    /** A run of a request without a complete answer. */
    private record CutRun(RequestIdentity request, Instant sentAt, Instant cutAt) {
        Duration ranUntil(Instant crashedAt) {
            return sentAt.isBefore(crashedAt) ? Duration.between(sentAt, crashedAt) : Duration.ZERO;
        }

        boolean wasCanceledBefore(Instant crashedAt) {
            return cutAt.plus(MAX_CANCELED_BEFORE_CRASH).isBefore(crashedAt);
        }
    }

    /** One incarnation of an upstream, with its runs without a complete answer. */
    private static final class Incarnation {
        private final UpstreamCrash crash;
        private final Map<CrashSuspect, CutRun> runs = new TreeMap<>();
        private Instant lastCutAt;
        private Instant lastBreakAt;
        private boolean reportScheduled;

        Incarnation(UpstreamCrash crash) {
            this.crash = crash;
        }
    }

    UpstreamCrashDetector(
            ControlThread control, Prober prober, Listener listener, Metrics metrics) {
        this.control = control;
        this.prober = prober;
        this.listener = listener;
        this.metrics = metrics;
    }

    /** Records that the request sent at that time ran at the upstream without a complete answer. */
    void recordCutRun(
            Upstream upstream, RequestIdentity request, Instant sentAt, IncompleteRunCause how) {
        metrics.count("runs_cut", "how", how.metricLabel());
        Incarnation incarnation =
                incarnations.computeIfAbsent(crashOf(upstream.facts()), this::createIncarnation);
        incarnation.lastCutAt = now();
        if (how == IncompleteRunCause.BROKE) {
            incarnation.lastBreakAt = incarnation.lastCutAt;
        }
        if (incarnation.runs.size() < MAX_RUNS) {
            incarnation.runs.put(
                    request.request(), new CutRun(request, sentAt, incarnation.lastCutAt));
        }
        if (knownCrashes.containsKey(incarnation.crash)) {
            reportSoon(incarnation);
        } else if (how == IncompleteRunCause.BROKE) {
            probeSoon(upstream, incarnation.crash);
        } else {
            probeLater(upstream, incarnation.crash);
        }
    }

    private static UpstreamCrash crashOf(UpstreamFacts facts) {
        return new UpstreamCrash(facts.id(), facts.held().startedAt());
    }

    private Incarnation createIncarnation(UpstreamCrash crash) {
        Incarnation incarnation = new Incarnation(crash);
        control.after(RUN_RETENTION, () -> removeExpired(incarnation));
        return incarnation;
    }

    private void removeExpired(Incarnation incarnation) {
        Instant until = incarnation.lastCutAt.plus(RUN_RETENTION);
        if (now().isBefore(until)) {
            control.after(Duration.between(now(), until), () -> removeExpired(incarnation));
        } else {
            incarnations.remove(incarnation.crash);
        }
    }

    private void probeSoon(Upstream upstream, UpstreamCrash crash) {
        if (scheduledProbes.add(crash)) {
            control.after(FIRST_PROBE_DELAY, () -> probe(upstream, crash, 0));
        }
    }

    private void probeLater(Upstream upstream, UpstreamCrash crash) {
        if (delayedProbes.add(crash)) {
            control.after(PROBE_DELAY_AFTER_CLOSING, () -> probeNow(upstream, crash));
        }
    }

    private void probeNow(Upstream upstream, UpstreamCrash crash) {
        delayedProbes.remove(crash);
        if (scheduledProbes.add(crash)) {
            probe(upstream, crash, 0);
        }
    }

    private void probe(Upstream upstream, UpstreamCrash crash, int earlierProbes) {
        if (knownCrashes.containsKey(crash)) {
            scheduledProbes.remove(crash);
            return;
        }
        prober.probe(
                upstream,
                earlierProbes == 0,
                result -> probed(upstream, crash, result, earlierProbes));
    }

    private void probed(
            Upstream upstream, UpstreamCrash crash, ProbeResult result, int earlierProbes) {
        if (result == ProbeResult.CRASHED) {
            scheduledProbes.remove(crash);
            if (recordCrash(crash, "refuses connections")) {
                listener.crashDetected(crash);
            }
        } else if (earlierProbes < REPEATED_PROBE_DELAYS.size() && hasBrokenConnection(crash)) {
            control.after(
                    REPEATED_PROBE_DELAYS.get(earlierProbes),
                    () -> probe(upstream, crash, earlierProbes + 1));
        } else {
            scheduledProbes.remove(crash);
        }
    }

    private boolean hasBrokenConnection(UpstreamCrash crash) {
        Incarnation incarnation = incarnations.get(crash);
        return incarnation != null && incarnation.lastBreakAt != null;
    }

    /** Records that the upstream answered a request that was sent at that time. */
    void upstreamAnswered(Upstream upstream, Instant sentAt) {
        if (incarnations.isEmpty() && knownCrashes.isEmpty()) {
            return;
        }
        UpstreamCrash crash = crashOf(upstream.facts());
        Incarnation incarnation = incarnations.get(crash);
        if (incarnation != null) {
            reportSurvivedRuns(incarnation, sentAt);
        }
        // An upstream with all its connections in use refuses further ones, but has not crashed.
        Instant endedAt = knownCrashes.get(crash);
        if (endedAt != null && sentAt.isAfter(endedAt)) {
            knownCrashes.remove(crash);
        }
    }

    private void reportSurvivedRuns(Incarnation incarnation, Instant sentAt) {
        Iterator<CutRun> each = incarnation.runs.values().iterator();
        while (each.hasNext()) {
            CutRun run = each.next();
            boolean sameIncarnation = sentAt.isBefore(run.cutAt.plus(MIN_RESTART_TIME));
            if (run.wasCanceledBefore(sentAt) && sameIncarnation) {
                each.remove();
                listener.runSurvived(run.request());
            }
        }
    }

    /** Records that no connection to the upstream could be made, and probes it soon. */
    void upstreamUnreachable(Upstream upstream) {
        UpstreamCrash crash = crashOf(upstream.facts());
        if (!knownCrashes.containsKey(crash)) {
            probeSoon(upstream, crash);
        }
    }

    /** Records a crash that another router detected; true if it was not known here. */
    boolean crashReceived(UpstreamCrash crash) {
        return recordCrash(crash, "is gone for another router");
    }

    /** Records that the upstream was removed from the list, as a crash of its incarnations. */
    void upstreamRemoved(UpstreamId upstream) {
        incarnationsOf(upstream)
                .forEach(incarnation -> recordCrash(incarnation.crash, "is off the list"));
    }

    /** Records an entry of the list; an entry of a new incarnation shows a crash of the old one. */
    void upstreamListed(UpstreamFacts facts) {
        UpstreamCrash now = crashOf(facts);
        incarnationsOf(facts.id()).stream()
                .filter(incarnation -> !incarnation.crash.equals(now))
                .forEach(incarnation -> recordCrash(incarnation.crash, "has started again"));
    }

    private List<Incarnation> incarnationsOf(UpstreamId upstream) {
        return incarnations.values().stream()
                .filter(incarnation -> incarnation.crash.upstream().equals(upstream))
                .toList();
    }

    private boolean recordCrash(UpstreamCrash crash, String how) {
        if (knownCrashes.putIfAbsent(crash, now()) != null) {
            return false;
        }
        metrics.count("upstream_ends", "known_by", how.replace(' ', '_'));
        Incarnation incarnation = incarnations.get(crash);
        int runs = incarnation == null ? 0 : incarnation.runs.size();
        LOG.info(
                "upstream {} has crashed with {} requests of this router running: it {}",
                crash.upstream(),
                runs,
                how);
        if (incarnation != null) {
            reportSoon(incarnation);
        }
        return true;
    }

    private void reportSoon(Incarnation incarnation) {
        if (!incarnation.reportScheduled) {
            incarnation.reportScheduled = true;
            control.run(() -> report(incarnation));
        }
    }

    private void report(Incarnation incarnation) {
        incarnation.reportScheduled = false;
        Instant crashedAt =
                incarnation.lastBreakAt == null ? incarnation.lastCutAt : incarnation.lastBreakAt;
        List<CrashedRun> runs = new ArrayList<>();
        for (CutRun run : incarnation.runs.values()) {
            if (run.wasCanceledBefore(crashedAt)) {
                metrics.count("ends_not_counted", "why", "called_off_before");
            } else {
                runs.add(new CrashedRun(run.request(), run.ranUntil(crashedAt)));
            }
        }
        incarnation.runs.clear();
        if (!runs.isEmpty()) {
            listener.runsCrashed(incarnation.crash, Duration.between(crashedAt, now()), runs);
        }
    }

    private Instant now() {
        return control.clock().instant();
    }
}
