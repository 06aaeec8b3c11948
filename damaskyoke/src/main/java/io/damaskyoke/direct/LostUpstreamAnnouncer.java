package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import java.time.InstantSource;

/**
 * Announces to the other routers which upstreams can't be reached. An upstream that is reachable
 * again a second later is cold. In a large fleet, most routers have not used it in between; without
 * the announcement, each of them would send it some of its queued requests. Control thread only.
 */
final class LostUpstreamAnnouncer {
    private final InstantSource clock;
    private final UpstreamTable upstreams;
    private final Transport transport;

    /** Sends the announcements to other routers. */
    interface Transport {
        /** Announces a lost upstream to the routers that pass the announcement on to all. */
        void announceLost(UpstreamId upstream, long startedAt);

        /** Announces a lost upstream to all, if this router passes announcements on. */
        void forwardLost(UpstreamId upstream, long startedAt);
    }

    LostUpstreamAnnouncer(InstantSource clock, UpstreamTable upstreams, Transport transport) {
        this.clock = clock;
        this.upstreams = upstreams;
        this.transport = transport;
    }

    /** Records that this router can't reach the upstream, or that a connection to it broke. */
    void connectionLost(Upstream upstream) {
        if (upstream.connectionLost(clock.instant())) {
            transport.announceLost(upstream.facts().id(), upstream.facts().held().startedAt());
        }
    }

    /**
     * Records that another router lost the incarnation of the upstream that started at {@code
     * startedAt}; {@code passOn} if this router is to pass the announcement on to all.
     */
    void lossAnnounced(UpstreamId id, long startedAt, boolean passOn) {
        upstreams
                .find(id)
                .filter(upstream -> upstream.facts().held().startedAt() == startedAt)
                .filter(upstream -> upstream.connectionLost(clock.instant()))
                .filter(any -> passOn)
                .ifPresent(any -> transport.forwardLost(id, startedAt));
    }
}
