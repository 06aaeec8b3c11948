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
 * Takes in how many requests a second upstreams say they take, and tells the other routers, most of
 * which hear nothing of it themselves while there is little to send there. Control thread only.
 */
final class LimitedUpstreams {
    private static final Logger LOG = LogManager.getLogger(LimitedUpstreams.class);

    /**
     * The end of a limit is told again for so long, for those whom the first message didn't reach.
     */
    private static final Duration END_TOLD = Duration.ofSeconds(4);

    private final InstantSource clock;
    private final UpstreamTable upstreams;
    private final Wire wire;

    /** Takes news to other routers. */
    interface Wire {
        /** To those that pass it on to all. */
        void tellLimit(News news);

        /** To all, if this router is one of those that pass it on. */
        void passLimitOn(News news);
    }

    /**
     * What an upstream has said.
     *
     * @param startedAt in which of its lives, by its start
     * @param age how long ago the limit was heard, or the request left whose answer had none
     */
    record News(UpstreamId upstream, long startedAt, RequestLimit limit, Duration age) {}

    LimitedUpstreams(InstantSource clock, UpstreamTable upstreams, Wire wire) {
        this.clock = clock;
        this.upstreams = upstreams;
        this.wire = wire;
    }

    /** An answer to a request that left at that time says this. */
    void heard(Upstream upstream, RequestLimit limit, Instant sentAt) {
        if (limit.kind() == RequestLimit.Kind.INVALID) {
            if (upstream.limitGate().markInvalid()) {
                LOG.warn("upstream {} names a limit that is none", upstream.facts().id());
            }
            return;
        }
        Instant now = clock.instant();
        if (upstream.limitGate().limitReceived(limit, limit.isDeclared() ? now : sentAt, now)) {
            log(upstream, "it says");
            wire.tellLimit(news(upstream, now));
        }
    }

    /** Another router has heard this; {@code passOn} if others wait for it. */
    void told(News news, boolean passOn) {
        Instant now = clock.instant();
        upstreams
                .find(news.upstream())
                .filter(upstream -> upstream.facts().held().startedAt() == news.startedAt())
                .filter(
                        upstream ->
                                upstream.limitGate()
                                        .limitReceived(news.limit(), now.minus(news.age()), now))
                .ifPresent(
                        upstream -> {
                            log(upstream, "another router says");
                            if (passOn) {
                                wire.passLimitOn(news);
                            }
                        });
    }

    /** Tells again what is known: messages get lost, and routers start. Called once a second. */
    void tellAgain() {
        Instant now = clock.instant();
        for (Upstream upstream : upstreams.all()) {
            LimitGate gate = upstream.limitGate();
            boolean ended = !gate.liftedAt().equals(Instant.MIN);
            boolean endedOfLate = ended && now.isBefore(gate.liftedAt().plus(END_TOLD));
            if (gate.isLimited(now) || endedOfLate) {
                wire.tellLimit(news(upstream, now));
            }
        }
    }

    /** Shows how many upstreams are limited, and how often that held a request back. */
    void show(Metrics metrics) {
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

    private static News news(Upstream upstream, Instant now) {
        LimitGate gate = upstream.limitGate();
        Instant at = gate.limit().isDeclared() ? gate.declaredAt() : gate.liftedAt();
        return new News(
                upstream.facts().id(),
                upstream.facts().held().startedAt(),
                gate.limit(),
                Duration.between(at, now));
    }

    private static void log(Upstream upstream, String source) {
        RequestLimit limit = upstream.limitGate().limit();
        if (limit.isDeclared()) {
            LOG.info(
                    "upstream {} takes {} requests a second from all routers, as {}",
                    upstream.facts().id(),
                    limit.perSecond(),
                    source);
        } else {
            LOG.info("upstream {} names no limit any more, as {}", upstream.facts().id(), source);
        }
    }
}
