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
 * Joins the end of an upstream with what ran there: {@code ends.cut(upstream, request, sentAt,
 * how)}. Control thread only.
 *
 * <p>An upstream that ends under a request need not break its connection: the caller may have left
 * a moment before, the time may have been up, the connection may have been silent. So a router
 * remembers for some seconds what came to no whole answer, for whatever reason, and tells of it
 * when it knows that this life of the upstream has ended: the address refuses, or the list has it
 * no longer or in another life.
 */
final class UpstreamEnds {
    private static final Logger LOG = LogManager.getLogger(UpstreamEnds.class);

    /** Connections that break together are looked into together; the address refuses by then. */
    private static final Duration GATHER = Duration.ofMillis(30);

    /**
     * After a look that shows no end, the next ones come so much later: another zone's word of the
     * end may be under way, or the upstream's successor is there already.
     */
    private static final List<Duration> AGAIN =
            List.of(Duration.ofMillis(220), Duration.ofMillis(450));

    /** An upstream that is told to drop a request has done so by then, or ends under it. */
    private static final Duration AFTER_CLOSING = Duration.ofMillis(600);

    /** The list has an upstream no longer some heartbeats after its end. */
    private static final Duration REMEMBERED = Duration.ofSeconds(10);

    /** A run that was called off so long before is not what ends an upstream. */
    private static final Duration CALLED_OFF_BEFORE = Duration.ofSeconds(1);

    /** An upstream that has ended is not back sooner. */
    private static final Duration NOT_BACK_BEFORE = Duration.ofSeconds(2);

    /** Ends that are remembered for runs that come to their end later, as they were silent. */
    private static final int MOST_ENDS = 256;

    /** What runs at an upstream at a time, and a few that were called off. */
    private static final int MOST_RUNS = 512;

    private final ControlThread control;
    private final Metrics metrics;
    private final Prober prober;
    private final Listener listener;
    private final Map<UpstreamCrash, Life> lives = new HashMap<>();
    private final Map<UpstreamCrash, Instant> known = new LruMap<>(MOST_ENDS);
    private final Set<UpstreamCrash> looks = new HashSet<>();
    private final Set<UpstreamCrash> laterLooks = new HashSet<>();

    /** What a look at an upstream shows. */
    enum Sign {
        /** It has ended: its address refuses connections. */
        ENDED,
        /** It has not: it takes connections, or has kept some. */
        ALIVE,
        /** No answer either way. */
        NONE
    }

    /** Looks whether an upstream has ended. */
    interface Prober {
        /** Connects to it, unless a connection that is still open may {@code vouch} for it. */
        void look(Upstream upstream, boolean vouch, Consumer<Sign> then);
    }

    /** Takes what ran at upstreams that have ended. */
    interface Listener {
        /** These had run there for so long when it ended, so long ago. */
        void ended(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran);

        /** This router has found out that the upstream has ended, and others may not know. */
        void found(UpstreamCrash end);

        /** The upstream has answered since, so that it bore the run that was called off. */
        void survived(RequestDigest request);
    }

    /** A run without a whole answer. */
    private record Run(Instant sentAt, Instant cutAt) {
        Duration ranUntil(Instant end) {
            return sentAt.isBefore(end) ? Duration.between(sentAt, end) : Duration.ZERO;
        }

        boolean calledOffBefore(Instant end) {
            return cutAt.plus(CALLED_OFF_BEFORE).isBefore(end);
        }
    }

    /** One life of an upstream, and what came to no whole answer in it. */
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

    UpstreamEnds(ControlThread control, Prober prober, Listener listener, Metrics metrics) {
        this.control = control;
        this.prober = prober;
        this.listener = listener;
        this.metrics = metrics;
    }

    /** The request, sent at that time, ran at the upstream and came to no whole answer there. */
    void cut(Upstream upstream, RequestDigest request, Instant sentAt, IncompleteRunCause how) {
        metrics.count("runs_cut", "how", how.metricLabel());
        Life life = lives.computeIfAbsent(lifeOf(upstream.facts()), this::begin);
        life.lastCut = now();
        if (how == IncompleteRunCause.BROKE) {
            life.lastBreak = life.lastCut;
        }
        if (life.runs.size() < MOST_RUNS) {
            life.runs.put(request, new Run(sentAt, life.lastCut));
        }
        if (known.containsKey(life.end)) {
            tellSoon(life);
        } else if (how == IncompleteRunCause.BROKE) {
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
        prober.look(upstream, before == 0, sign -> looked(upstream, end, sign, before));
    }

    private void looked(Upstream upstream, UpstreamCrash end, Sign sign, int before) {
        if (sign == Sign.ENDED) {
            looks.remove(end);
            if (ended(end, "refuses connections")) {
                listener.found(end);
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

    /** The upstream has answered a request that was sent then. */
    void answered(Upstream upstream, Instant sentAt) {
        if (lives.isEmpty() && known.isEmpty()) {
            return;
        }
        UpstreamCrash end = lifeOf(upstream.facts());
        Life life = lives.get(end);
        if (life != null) {
            survived(life, sentAt);
        }
        // One with all its connections in use refuses more, and is there all the same.
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
                listener.survived(entry.getKey());
            }
        }
    }

    /** No connection to the upstream could be made. */
    void unreachable(Upstream upstream) {
        UpstreamCrash end = lifeOf(upstream.facts());
        if (!known.containsKey(end)) {
            lookSoon(upstream, end);
        }
    }

    /** Another router has found out that the upstream has ended; true if that is news. */
    boolean told(UpstreamCrash end) {
        return ended(end, "is gone for another router");
    }

    /** The list has the upstream no longer. */
    void gone(UpstreamId upstream) {
        livesOf(upstream).forEach(life -> ended(life.end, "is off the list"));
    }

    /** The list says something of the upstream, perhaps of its next life. */
    void listed(UpstreamFacts facts) {
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
                "upstream {} has ended under {} requests of this router: it {}",
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
            listener.ended(life.end, Duration.between(end, now()), ran);
        }
    }

    private Instant now() {
        return control.clock().instant();
    }
}
