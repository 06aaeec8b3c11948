package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import java.time.InstantSource;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Closes upstreams that say in an answer that they leave, and announces them to the other routers,
 * which may hear of it later or, as long as the store calls the upstream ready, never. Control
 * thread only.
 */
final class AnnouncedDepartures {
    private static final Logger LOG = LogManager.getLogger(AnnouncedDepartures.class);

    private final InstantSource clock;
    private final UpstreamTable upstreams;
    private final Transport transport;
    private Consumer<UpstreamFacts> onDeparture = any -> {};

    /** Sends the announcements to other routers. */
    interface Transport {
        /** Announces a departure to the routers that pass the announcement on to all. */
        void announceLeaving(UpstreamId upstream, long startedAt);

        /** Announces a departure to all, if this router passes announcements on. */
        void forwardLeaving(UpstreamId upstream, long startedAt);
    }

    AnnouncedDepartures(InstantSource clock, UpstreamTable upstreams, Transport transport) {
        this.clock = clock;
        this.upstreams = upstreams;
        this.transport = transport;
    }

    /** Sets the action that runs for each listed upstream that is found to leave. */
    void onDeparture(Consumer<UpstreamFacts> action) {
        onDeparture = action;
    }

    /** Records that an upstream has said in an answer to this router that it leaves. */
    void departureStated(UpstreamId id) {
        if (close(id, "says in an answer that it leaves")) {
            transport.announceLeaving(id, upstreams.listedStart(id));
        }
    }

    /**
     * Records that another router heard from the incarnation of the upstream that started at {@code
     * startedAt} that it leaves; {@code passOn} if this router is to pass the announcement on.
     */
    void departureAnnounced(UpstreamId id, long startedAt, boolean passOn) {
        boolean sameIncarnation =
                upstreams.find(id).isPresent() && upstreams.listedStart(id) == startedAt;
        if (sameIncarnation && close(id, "leaves, as another router announced") && passOn) {
            transport.forwardLeaving(id, startedAt);
        }
    }

    private boolean close(UpstreamId id, String how) {
        if (!upstreams.departureStated(id, clock.instant())) {
            return false;
        }
        LOG.info("upstream {} {}", id, how);
        upstreams.find(id).map(Upstream::facts).ifPresent(onDeparture);
        return true;
    }
}
