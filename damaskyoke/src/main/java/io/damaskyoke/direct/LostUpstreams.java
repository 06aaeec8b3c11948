package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import java.time.InstantSource;

/**
 * Tells the other routers which upstreams can't be reached. One that is back a second later is
 * cold; in a large fleet most routers have not used it meanwhile, and each would send it a little
 * of what waits. Control thread only.
 */
final class LostUpstreams {
    private final InstantSource clock;
    private final UpstreamTable upstreams;
    private final Wire wire;

    /** Takes word to other routers. */
    interface Wire {
        /** To those that pass it on to all. */
        void tellLost(UpstreamId upstream, long startedAt);

        /** To all, if this router is one of those that pass it on. */
        void passLostOn(UpstreamId upstream, long startedAt);
    }

    LostUpstreams(InstantSource clock, UpstreamTable upstreams, Wire wire) {
        this.clock = clock;
        this.upstreams = upstreams;
        this.wire = wire;
    }

    /** This router can't reach the upstream, or a connection to it broke. */
    void lost(Upstream upstream) {
        if (upstream.connectionLost(clock.instant())) {
            wire.tellLost(upstream.facts().id(), upstream.facts().held().startedAt());
        }
    }

    /** Another router has lost the upstream in this life; {@code passOn} if others wait for it. */
    void told(UpstreamId id, long startedAt, boolean passOn) {
        upstreams
                .find(id)
                .filter(upstream -> upstream.facts().held().startedAt() == startedAt)
                .filter(upstream -> upstream.connectionLost(clock.instant()))
                .filter(any -> passOn)
                .ifPresent(any -> wire.passLostOn(id, startedAt));
    }
}
