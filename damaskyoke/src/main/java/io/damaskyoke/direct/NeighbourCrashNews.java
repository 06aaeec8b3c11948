package io.damaskyoke.direct;

import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.SuspectRequest;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.function.Function;

/**
 * Tells the other routers what is known of requests under which upstreams end. In a large fleet
 * only those that follow the store for all have a link to every other router.
 */
final class NeighbourCrashNews implements CrashNews {
    private final InstantSource clock;
    private final Wire wire;

    /** Takes frames to other routers. */
    interface Wire {
        /** To all others that this router has a link to, or opens one. */
        void toAll(Frame frame);

        /** To those that follow the store for all, which count the ends. */
        void toWatchers(Frame frame);

        /** To all others, through those if need be; the frame says whether to pass it on. */
        void throughWatchers(Function<Boolean, Frame> frame);

        /** True if this router is one of them, and passes on what it hears. */
        boolean passesOn();
    }

    NeighbourCrashNews(InstantSource clock, Wire wire) {
        this.clock = clock;
        this.wire = wire;
    }

    @Override
    public void ended(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {
        wire.toWatchers(PeerRouterFrames.upstreamCrash(end, ago, ran));
    }

    @Override
    public void found(UpstreamCrash end) {
        wire.throughWatchers(passOn -> PeerRouterFrames.crashDetected(end, passOn));
    }

    @Override
    public void passEndOn(UpstreamCrash end) {
        if (wire.passesOn()) {
            wire.toAll(PeerRouterFrames.crashDetected(end, false));
        }
    }

    @Override
    public void watched(RequestDigest request) {
        wire.toAll(PeerRouterFrames.suspect(request, SuspectRequest.State.WATCHED));
    }

    @Override
    public void keptOut(Quarantine.Entry entry) {
        wire.toAll(PeerRouterFrames.quarantined(entry, clock.instant()));
    }

    @Override
    public void released(RequestDigest request) {
        // Routers are told with the answer that cleared it.
    }

    @Override
    public void refused(Quarantine.Entry entry) {
        wire.toWatchers(PeerRouterFrames.quarantined(entry, clock.instant()));
    }

    @Override
    public void cleared(RequestDigest request, Duration sentAgo) {
        wire.toAll(PeerRouterFrames.cleared(request, sentAgo));
    }

    @Override
    public void succeededBefore(RequestDigest request, Duration ago) {
        wire.toWatchers(PeerRouterFrames.succeededBefore(request, ago));
    }

    @Override
    public void borne(RequestDigest request, int times) {
        wire.toWatchers(PeerRouterFrames.survivedRuns(request, times));
    }
}
