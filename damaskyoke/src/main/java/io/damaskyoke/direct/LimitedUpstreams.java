package io.damaskyoke.direct;

import io.damaskyoke.control.cold.LimitGate;
import io.damaskyoke.control.cold.LimitWord;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Takes in how many requests a second upstreams say they take, and tells the other routers, most of
 * which hear nothing of it themselves while there is little to send there. Control thread only.
 */
final class LimitedUpstreams {
    private static final Logger LOG = LogManager.getLogger(LimitedUpstreams.class);

    /** The end of a limit is told again for so long, for those whom the first word didn't reach. */
    private static final Duration END_TOLD = Duration.ofSeconds(4);

    private final InstantSource clock;
    private final UpstreamTable upstreams;
    private final Wire wire;
    private final Set<UpstreamId> unreadable = new HashSet<>();

    /** Takes word to other routers. */
    interface Wire {
        /** To those that pass it on to all. */
        void tellLimit(Word word);

        /** To all, if this router is one of those that pass it on. */
        void passLimitOn(Word word);
    }

    /**
     * What an upstream has said.
     *
     * @param startedAt in which of its lives, by its start
     * @param age how long ago the limit was heard, or the request left whose answer had none
     */
    record Word(UpstreamId upstream, long startedAt, LimitWord limit, Duration age) {}

    LimitedUpstreams(InstantSource clock, UpstreamTable upstreams, Wire wire) {
        this.clock = clock;
        this.upstreams = upstreams;
        this.wire = wire;
    }

    /** An answer to a request that left at that time says this. */
    void heard(Upstream upstream, LimitWord limit, Instant sentAt) {
        if (limit.kind() == LimitWord.Kind.UNREADABLE) {
            if (unreadable.add(upstream.facts().id())) {
                LOG.warn("upstream {} names a limit that is none", upstream.facts().id());
            }
            return;
        }
        Instant now = clock.instant();
        if (upstream.limit().heard(limit, limit.isNamed() ? now : sentAt, now)) {
            log(upstream, "it says");
            wire.tellLimit(word(upstream, now));
        }
    }

    /** Another router has heard this; {@code passOn} if others wait for it. */
    void told(Word word, boolean passOn) {
        Instant now = clock.instant();
        upstreams
                .find(word.upstream())
                .filter(upstream -> upstream.facts().held().startedAt() == word.startedAt())
                .filter(
                        upstream ->
                                upstream.limit().heard(word.limit(), now.minus(word.age()), now))
                .ifPresent(
                        upstream -> {
                            log(upstream, "another router says");
                            if (passOn) {
                                wire.passLimitOn(word);
                            }
                        });
    }

    /** Tells again what is known: words get lost, and routers start. Called once a second. */
    void tellAgain() {
        Instant now = clock.instant();
        for (Upstream upstream : upstreams.all()) {
            LimitGate limit = upstream.limit();
            boolean ended = !limit.endedAt().equals(Instant.MIN);
            boolean endedOfLate = ended && now.isBefore(limit.endedAt().plus(END_TOLD));
            if (limit.limited(now) || endedOfLate) {
                wire.tellLimit(word(upstream, now));
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
        return upstreams.all().stream().filter(each -> each.limit().limited(now)).count();
    }

    private long heldBack() {
        return upstreams.all().stream().mapToLong(each -> each.limit().heldBack()).sum();
    }

    private static Word word(Upstream upstream, Instant now) {
        LimitGate limit = upstream.limit();
        Instant at = limit.word().isNamed() ? limit.namedAt() : limit.endedAt();
        return new Word(
                upstream.facts().id(),
                upstream.facts().held().startedAt(),
                limit.word(),
                Duration.between(at, now));
    }

    private static void log(Upstream upstream, String source) {
        LimitWord word = upstream.limit().word();
        if (word.isNamed()) {
            LOG.info(
                    "upstream {} takes {} requests a second from all routers, as {}",
                    upstream.facts().id(),
                    word.perSecond(),
                    source);
        } else {
            LOG.info("upstream {} names no limit any more, as {}", upstream.facts().id(), source);
        }
    }
}
