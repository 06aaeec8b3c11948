package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.LruMap;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
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
 * Detects crashes of upstreams and reports the requests that ran there: {@code ends.cut(upstream,
 * request, sentAt, how)}. Control thread only.
 *
 * <p>An upstream that crashes on a request need not break its connection: the caller may have left
 * a moment before, the request may have timed out, the connection may have been silent. So a router
 * records for some seconds the runs without a complete answer, for whatever reason, and reports
 * them when it knows that this incarnation of the upstream has crashed: its address refuses
 * connections, or the list no longer has it or has another incarnation.
 */
final class UpstreamCrashDetector {
    private static final Logger LOG = LogManager.getLogger(UpstreamCrashDetector.class);

    /** Connections that break together cause one probe; the address refuses by then. */
    private static final Duration GATHER = Duration.ofMillis(30);

    /**
     * The delays of further probes after one that shows no crash: news of it may still be on its
     * way from another zone, or the upstream's successor may be up already.
     */
    private static final List<Duration> AGAIN =
            List.of(Duration.ofMillis(220), Duration.ofMillis(450));

    /**
     * An upstream whose connection was closed has dropped the request by then, or crashes on it.
     */
    private static final Duration AFTER_CLOSING = Duration.ofMillis(600);

    /** How long cut runs are recorded; the list drops a crashed upstream after some heartbeats. */
    private static final Duration REMEMBERED = Duration.ofSeconds(10);

    /** A run that was canceled this long before a crash did not cause it. */
    private static final Duration CALLED_OFF_BEFORE = Duration.ofSeconds(1);

    /** A crashed upstream is not back sooner than this. */
    private static final Duration NOT_BACK_BEFORE = Duration.ofSeconds(2);

    /** The most crashes recorded, for runs that are cut off later because they were silent. */
    private static final int MOST_ENDS = 256;

    /** The most runs recorded per upstream: those in progress and a few that were canceled. */
    private static final int MOST_RUNS = 512;

    private final ControlThread control;
    private final Metrics metrics;
    private final Prober prober;
    private final Listener listener;
    private final Map<UpstreamCrash, Life> lives = new HashMap<>();
    private final Map<UpstreamCrash, Instant> known = new LruMap<>(MOST_ENDS);
    private final Set<UpstreamCrash> looks = new HashSet<>();
    private final Set<UpstreamCrash> laterLooks = new HashSet<>();

    /** The result of a probe of an upstream. */
    enum ProbeResult {
        /** The upstream has crashed: its address refuses connections. */
        ENDED,
        /** The upstream is up: it accepts connections, or has kept some open. */
        ALIVE,
        /** The probe has no result either way. */
        NONE
    }

    /** Probes whether an upstream has crashed. */
    interface Prober {
        /**
         * Connects to the upstream and passes on the result.
         *
         * @param vouch whether a connection that is still open proves the upstream up instead
         */
        void probe(Upstream upstream, boolean vouch, Consumer<ProbeResult> then);
    }

    /** Receives the crashes of upstreams and the requests that ran there. */
    interface Listener {
        /** Reports how long each request had run at the upstream when it crashed, so long ago. */
        void runsCrashed(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran);

        /** Reports that this router detected the crash, of which others may not know. */
        void crashDetected(UpstreamCrash end);

        /** Reports that the upstream has answered since, so that it survived the canceled run. */
        void runSurvived(RequestDigest request);
    }

    /** A run of a request without a complete answer. */
    private record Run(Instant sentAt, Instant cutAt) {
        Duration ranUntil(Instant end) {
            return sentAt.isBefore(end) ? Duration.between(sentAt, end) : Duration.ZERO;
        }

        boolean calledOffBefore(Instant end) {
            return cutAt.plus(CALLED_OFF_BEFORE).isBefore(end);
        }
    }

    /** One incarnation of an upstream, with its runs without a complete answer. */
    private static final class Life {
        private final UpstreamCrash end;
        private final Map<RequestDigest, Run> runs = new TreeMap<>();
        private Instant lastCut;
        private Instant lastBreak;
        private boolean telling;

        Life(UpstreamCrash end) {
            this.end = end;
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
    void recordCutRun(Upstream upstream, RequestDigest request, Instant sentAt, Cut how) {
        metrics.count("runs_cut", "how", how.label());
        Life life = lives.computeIfAbsent(lifeOf(upstream.facts()), this::begin);
        life.lastCut = now();
        if (how == Cut.BROKE) {
            life.lastBreak = life.lastCut;
        }
        if (life.runs.size() < MOST_RUNS) {
            life.runs.put(request, new Run(sentAt, life.lastCut));
        }
        if (known.containsKey(life.end)) {
            tellSoon(life);
        } else if (how == Cut.BROKE) {
            lookSoon(upstream, life.end);
        } else {
            lookLater(upstream, life.end);
        }
    }

    private static UpstreamCrash lifeOf(UpstreamFacts facts) {
        return new UpstreamCrash(facts.id(), facts.held().startedAt());
    }

    private Life begin(UpstreamCrash end) {
        Life life = new Life(end);
        control.after(REMEMBERED, () -> forget(life));
        return life;
    }

    private void forget(Life life) {
        Instant until = life.lastCut.plus(REMEMBERED);
        if (now().isBefore(until)) {
            control.after(Duration.between(now(), until), () -> forget(life));
        } else {
            lives.remove(life.end);
        }
    }

    private void lookSoon(Upstream upstream, UpstreamCrash end) {
        if (looks.add(end)) {
            control.after(GATHER, () -> look(upstream, end, 0));
        }
    }

    private void lookLater(Upstream upstream, UpstreamCrash end) {
        if (laterLooks.add(end)) {
            control.after(AFTER_CLOSING, () -> lookNow(upstream, end));
        }
    }

    private void lookNow(Upstream upstream, UpstreamCrash end) {
        laterLooks.remove(end);
        if (looks.add(end)) {
            look(upstream, end, 0);
        }
    }

    private void look(Upstream upstream, UpstreamCrash end, int before) {
        if (known.containsKey(end)) {
            looks.remove(end);
            return;
        }
        prober.probe(upstream, before == 0, sign -> looked(upstream, end, sign, before));
    }

    private void looked(Upstream upstream, UpstreamCrash end, ProbeResult sign, int before) {
        if (sign == ProbeResult.ENDED) {
            looks.remove(end);
            if (ended(end, "refuses connections")) {
                listener.crashDetected(end);
            }
        } else if (before < AGAIN.size() && brokeOf(end)) {
            control.after(AGAIN.get(before), () -> look(upstream, end, before + 1));
        } else {
            looks.remove(end);
        }
    }

    private boolean brokeOf(UpstreamCrash end) {
        Life life = lives.get(end);
        return life != null && life.lastBreak != null;
    }

    /** Records that the upstream answered a request that was sent at that time. */
    void upstreamAnswered(Upstream upstream, Instant sentAt) {
        if (lives.isEmpty() && known.isEmpty()) {
            return;
        }
        UpstreamCrash end = lifeOf(upstream.facts());
        Life life = lives.get(end);
        if (life != null) {
            survived(life, sentAt);
        }
        // An upstream with all its connections in use refuses further ones, but has not crashed.
        Instant endedAt = known.get(end);
        if (endedAt != null && sentAt.isAfter(endedAt)) {
            known.remove(end);
        }
    }

    private void survived(Life life, Instant sentAt) {
        Iterator<Map.Entry<RequestDigest, Run>> each = life.runs.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<RequestDigest, Run> entry = each.next();
            Run run = entry.getValue();
            boolean sameLife = sentAt.isBefore(run.cutAt.plus(NOT_BACK_BEFORE));
            if (run.calledOffBefore(sentAt) && sameLife) {
                each.remove();
                listener.runSurvived(entry.getKey());
            }
        }
    }

    /** Records that no connection to the upstream could be made, and probes it soon. */
    void upstreamUnreachable(Upstream upstream) {
        UpstreamCrash end = lifeOf(upstream.facts());
        if (!known.containsKey(end)) {
            lookSoon(upstream, end);
        }
    }

    /** Records a crash that another router detected; true if it was not known here. */
    boolean crashReceived(UpstreamCrash end) {
        return ended(end, "is gone for another router");
    }

    /** Records that the upstream was removed from the list, as a crash of its incarnations. */
    void upstreamRemoved(UpstreamId upstream) {
        livesOf(upstream).forEach(life -> ended(life.end, "is off the list"));
    }

    /** Records an entry of the list; an entry of a new incarnation shows a crash of the old one. */
    void upstreamListed(UpstreamFacts facts) {
        UpstreamCrash now = lifeOf(facts);
        livesOf(facts.id()).stream()
                .filter(life -> !life.end.equals(now))
                .forEach(life -> ended(life.end, "has started again"));
    }

    private List<Life> livesOf(UpstreamId upstream) {
        return lives.values().stream()
                .filter(life -> life.end.upstream().equals(upstream))
                .toList();
    }

    private boolean ended(UpstreamCrash end, String how) {
        if (known.putIfAbsent(end, now()) != null) {
            return false;
        }
        metrics.count("upstream_ends", "known_by", how.replace(' ', '_'));
        Life life = lives.get(end);
        int runs = life == null ? 0 : life.runs.size();
        LOG.info(
                "upstream {} has crashed with {} requests of this router running: it {}",
                end.upstream(),
                runs,
                how);
        if (life != null) {
            tellSoon(life);
        }
        return true;
    }

    private void tellSoon(Life life) {
        if (!life.telling) {
            life.telling = true;
            control.run(() -> tell(life));
        }
    }

    private void tell(Life life) {
        life.telling = false;
        Instant end = life.lastBreak == null ? life.lastCut : life.lastBreak;
        Map<RequestDigest, Duration> ran = new TreeMap<>();
        life.runs.forEach(
                (request, run) -> {
                    if (run.calledOffBefore(end)) {
                        metrics.count("ends_not_counted", "why", "called_off_before");
                    } else {
                        ran.put(request, run.ranUntil(end));
                    }
                });
        life.runs.clear();
        if (!ran.isEmpty()) {
            listener.runsCrashed(life.end, Duration.between(end, now()), ran);
        }
    }

    private Instant now() {
        return control.clock().instant();
    }
}
