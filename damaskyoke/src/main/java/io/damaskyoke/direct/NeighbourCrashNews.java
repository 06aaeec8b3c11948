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
 * Announces crashes and poison requests to the peer routers. In a large fleet only the watchers,
 * which follow the store for all, have a link to every other router.
 */
final class NeighbourCrashNews implements CrashNews {
    private final InstantSource clock;
    private final Wire wire;

    /** Sends frames to other routers. */
    interface Wire {
        /** Sends to all others to which this router has a link or opens one. */
        void toAll(Frame frame);

        /** Sends to the watchers, which follow the store for all and count the crashes. */
        void toWatchers(Frame frame);

        /**
         * Sends to all others, if need be through watchers; the frame says whether to pass it on.
         */
        void throughWatchers(Function<Boolean, Frame> frame);

        /** Returns true if this router is a watcher, and passes on what it receives. */
        boolean passesOn();
    }

    NeighbourCrashNews(InstantSource clock, Wire wire) {
        this.clock = clock;
        this.wire = wire;
    }

    @Override
    public void ended(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {
        wire.toWatchers(NeighbourFrames.ended(end, ago, ran));
    }

    @Override
    public void found(UpstreamCrash end) {
        wire.throughWatchers(passOn -> NeighbourFrames.found(end, passOn));
    }

    @Override
    public void passEndOn(UpstreamCrash end) {
        if (wire.passesOn()) {
            wire.toAll(NeighbourFrames.found(end, false));
        }
    }

    @Override
    public void watched(RequestDigest request) {
        wire.toAll(NeighbourFrames.suspect(request, SuspectRequest.State.WATCHED));
    }

    @Override
    public void keptOut(Quarantine.Entry entry) {
        wire.toAll(NeighbourFrames.keptOut(entry, clock.instant()));
    }

    @Override
    public void released(RequestDigest request) {
        // The other routers learn this from the announced success that cleared the request.
    }

    @Override
    public void refused(Quarantine.Entry entry) {
        wire.toWatchers(NeighbourFrames.keptOut(entry, clock.instant()));
    }

    @Override
    public void cleared(RequestDigest request, Duration sentAgo) {
        wire.toAll(NeighbourFrames.cleared(request, sentAgo));
    }

    @Override
    public void succeededBefore(RequestDigest request, Duration ago) {
        wire.toWatchers(NeighbourFrames.succeededBefore(request, ago));
    }

    @Override
    public void borne(RequestDigest request, int times) {
        wire.toWatchers(NeighbourFrames.borne(request, times));
    }
}
