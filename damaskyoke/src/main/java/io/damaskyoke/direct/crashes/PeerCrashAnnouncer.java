package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.UpstreamCrash;
import io.damaskyoke.peer.wire.Frame;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.function.Function;

/**
 * Announces crashes and their suspects to the peer routers. In a large fleet only the watchers,
 * which follow the store for all, have a link to every other router.
 */
public final class PeerCrashAnnouncer implements CrashAnnouncer {
    private final InstantSource clock;
    private final FrameSender sender;

    /** Sends frames to other routers. */
    public interface FrameSender {
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

    public PeerCrashAnnouncer(InstantSource clock, FrameSender sender) {
        this.clock = clock;
        this.sender = sender;
    }

    @Override
    public void announceRunsAtCrash(UpstreamCrash crash, Duration ago, List<CrashedRun> runs) {
        sender.sendToWatchers(CrashFrames.upstreamCrash(crash, ago, runs));
    }

    @Override
    public void announceCrash(UpstreamCrash crash) {
        sender.sendThroughWatchers(passOn -> CrashFrames.crashDetected(crash, passOn));
    }

    @Override
    public void forwardCrash(UpstreamCrash crash) {
        if (sender.isWatcher()) {
            sender.sendToAll(CrashFrames.crashDetected(crash, false));
        }
    }

    @Override
    public void announceWatched(CrashSuspect suspect) {
        sender.sendToAll(CrashFrames.watched(suspect));
    }

    @Override
    public void announceQuarantined(Quarantine.Entry entry) {
        sender.sendToAll(CrashFrames.quarantined(entry, clock.instant()));
    }

    @Override
    public void removeStored(CrashSuspect suspect) {
        // The other routers learn this from the announced success that cleared the suspect.
    }

    @Override
    public void announceRefused(Quarantine.Entry entry) {
        sender.sendToWatchers(CrashFrames.quarantined(entry, clock.instant()));
    }

    @Override
    public void announceCleared(CrashSuspect suspect, Duration sentAgo) {
        sender.sendToAll(CrashFrames.cleared(suspect, sentAgo));
    }

    @Override
    public void announceEarlierSuccess(CrashSuspect suspect, Duration ago) {
        sender.sendToWatchers(CrashFrames.succeededBefore(suspect, ago));
    }

    @Override
    public void announceSurvivedRuns(CrashSuspect suspect, int runs) {
        sender.sendToWatchers(CrashFrames.survivedRuns(suspect, runs));
    }
}
