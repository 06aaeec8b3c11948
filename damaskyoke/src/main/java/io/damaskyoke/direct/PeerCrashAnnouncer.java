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
final class PeerCrashAnnouncer implements CrashAnnouncer {
    private final InstantSource clock;
    private final FrameSender sender;

    /** Sends frames to other routers. */
    interface FrameSender {
        /** Sends to all others to which this router has a link or opens one. */
        void sendToAll(Frame frame);

        /** Sends to the watchers, which follow the store for all and count the crashes. */
        void sendToWatchers(Frame frame);

        /**
         * Sends to all others, if need be through watchers; the frame says whether to pass it on.
         */
        void sendThroughWatchers(Function<Boolean, Frame> frame);

        /** Returns true if this router is a watcher, and passes on what it receives. */
        boolean isWatcher();
    }

    PeerCrashAnnouncer(InstantSource clock, FrameSender sender) {
        this.clock = clock;
        this.sender = sender;
    }

    @Override
    public void announceRunsAtCrash(
            UpstreamCrash crash, Duration ago, Map<RequestDigest, Duration> runTimes) {
        sender.sendToWatchers(PeerRouterFrames.upstreamCrash(crash, ago, runTimes));
    }

    @Override
    public void announceCrash(UpstreamCrash crash) {
        sender.sendThroughWatchers(passOn -> PeerRouterFrames.crashDetected(crash, passOn));
    }

    @Override
    public void forwardCrash(UpstreamCrash crash) {
        if (sender.isWatcher()) {
            sender.sendToAll(PeerRouterFrames.crashDetected(crash, false));
        }
    }

    @Override
    public void announceWatched(RequestDigest request) {
        sender.sendToAll(PeerRouterFrames.suspect(request, SuspectRequest.State.WATCHED));
    }

    @Override
    public void announceQuarantined(Quarantine.Entry entry) {
        sender.sendToAll(PeerRouterFrames.quarantined(entry, clock.instant()));
    }

    @Override
    public void removeStored(RequestDigest request) {
        // The other routers learn this from the announced success that cleared the request.
    }

    @Override
    public void announceRefused(Quarantine.Entry entry) {
        sender.sendToWatchers(PeerRouterFrames.quarantined(entry, clock.instant()));
    }

    @Override
    public void announceCleared(RequestDigest request, Duration sentAgo) {
        sender.sendToAll(PeerRouterFrames.cleared(request, sentAgo));
    }

    @Override
    public void announceEarlierSuccess(RequestDigest request, Duration ago) {
        sender.sendToWatchers(PeerRouterFrames.succeededBefore(request, ago));
    }

    @Override
    public void announceSurvivedRuns(RequestDigest request, int runs) {
        sender.sendToWatchers(PeerRouterFrames.survivedRuns(request, runs));
    }
}
