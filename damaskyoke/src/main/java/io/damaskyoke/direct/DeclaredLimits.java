package io.damaskyoke.direct;

import io.damaskyoke.control.cold.LimitGate;
import io.damaskyoke.control.cold.RequestLimit;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Records the request rate limits that upstreams declare in their answers, and announces them to
 * the other routers, most of which see no such answer while they send little. Control thread only.
 */
final class DeclaredLimits {
    private static final Logger LOG = LogManager.getLogger(DeclaredLimits.class);

    /** How long the end of a limit is announced again, for routers that missed the first one. */
    private static final Duration END_ANNOUNCED_FOR = Duration.ofSeconds(4);

    private final InstantSource clock;
    private final UpstreamTable upstreams;
    private final Announcer announcer;

    /** Sends announcements to other routers. */
    interface Announcer {
        /** Announces a limit to the routers that pass it on to all others. */
        void announceLimit(Announcement announcement);

        /** Announces a limit to all, if this router is one of those that pass announcements on. */
        void forwardLimit(Announcement announcement);
    }

    /**
     * A limit that an upstream declared, or its end.
     *
     * @param startedAt which incarnation of the upstream declared it, by its start
     * @param age how long ago the limit was received, or the request was sent whose answer had none
     */
    record Announcement(UpstreamId upstream, long startedAt, RequestLimit limit, Duration age) {}

    DeclaredLimits(InstantSource clock, UpstreamTable upstreams, Announcer announcer) {
        this.clock = clock;
        this.upstreams = upstreams;
        this.announcer = announcer;
    }

    /** Records the limit in an answer to a request that was sent at that time. */
    void limitReceived(Upstream upstream, RequestLimit limit, Instant sentAt) {
        if (limit.kind() == RequestLimit.Kind.INVALID) {
            if (upstream.limitGate().markInvalid()) {
                LOG.warn("upstream {} declares an invalid limit", upstream.facts().id());
            }
            return;
        }
        Instant now = clock.instant();
        if (upstream.limitGate().limitReceived(limit, limit.isDeclared() ? now : sentAt, now)) {
            log(upstream, "declared by the upstream");
            announcer.announceLimit(announcementOf(upstream, now));
        }
    }

    /**
     * Records a limit that another router announced.
     *
     * @param passOn whether this router passes the announcement on to the others
     */
    void announcementReceived(Announcement announcement, boolean passOn) {
        Instant now = clock.instant();
        upstreams
                .find(announcement.upstream())
                .filter(upstream -> upstream.facts().held().startedAt() == announcement.startedAt())
                .filter(
                        upstream ->
                                upstream.limitGate()
                                        .limitReceived(
                                                announcement.limit(),
                                                now.minus(announcement.age()),
                                                now))
                .ifPresent(
                        upstream -> {
                            log(upstream, "announced by another router");
                            if (passOn) {
                                announcer.forwardLimit(announcement);
                            }
                        });
    }

    /**
     * Announces all current limits again, as messages get lost and routers start. Called once a
     * second.
     */
    void announceAgain() {
        Instant now = clock.instant();
        for (Upstream upstream : upstreams.all()) {
            LimitGate gate = upstream.limitGate();
            boolean lifted = !gate.liftedAt().equals(Instant.MIN);
            boolean liftedRecently =
                    lifted && now.isBefore(gate.liftedAt().plus(END_ANNOUNCED_FOR));
            if (gate.isLimited(now) || liftedRecently) {
                announcer.announceLimit(announcementOf(upstream, now));
            }
        }
    }

    /** Registers gauges of the limited upstreams and of the requests that limits held back. */
    void registerGauges(Metrics metrics) {
        metrics.gauge("upstreams_limited", this::limited);
        metrics.gauge("upstream_limit_held_back", this::heldBack);
    }

    private long limited() {
        Instant now = clock.instant();
        return upstreams.all().stream().filter(each -> each.limitGate().isLimited(now)).count();
    }

    private long heldBack() {
        return upstreams.all().stream().mapToLong(each -> each.limitGate().heldBackCount()).sum();
    }

    private static Announcement announcementOf(Upstream upstream, Instant now) {
        LimitGate gate = upstream.limitGate();
        Instant at = gate.limit().isDeclared() ? gate.declaredAt() : gate.liftedAt();
        return new Announcement(
                upstream.facts().id(),
                upstream.facts().held().startedAt(),
                gate.limit(),
                Duration.between(at, now));
    }

    private static void log(Upstream upstream, String source) {
        RequestLimit limit = upstream.limitGate().limit();
        if (limit.isDeclared()) {
            LOG.info(
                    "upstream {} accepts {} requests a second from all routers, {}",
                    upstream.facts().id(),
                    limit.perSecond(),
                    source);
        } else {
            LOG.info("upstream {} declares no limit any more, {}", upstream.facts().id(), source);
        }
    }
}
