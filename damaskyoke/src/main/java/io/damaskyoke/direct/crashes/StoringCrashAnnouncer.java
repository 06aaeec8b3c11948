package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.UpstreamCrash;
import java.time.Duration;
import java.util.List;

/** Announces to the other routers at once, and stores the quarantine, which must outlive them. */
public final class StoringCrashAnnouncer implements CrashAnnouncer {
    private final CrashAnnouncer routers;
    private final QuarantineStore store;

    public StoringCrashAnnouncer(CrashAnnouncer routers, QuarantineStore store) {
        this.routers = routers;
        this.store = store;
    }

    @Override
    public void announceRunsAtCrash(UpstreamCrash crash, Duration ago, List<CrashedRun> runs) {
        routers.announceRunsAtCrash(crash, ago, runs);
    }

    @Override
    public void announceCrash(UpstreamCrash crash) {
        routers.announceCrash(crash);
    }

    @Override
    public void forwardCrash(UpstreamCrash crash) {
        routers.forwardCrash(crash);
    }

    @Override
    public void announceWatched(CrashSuspect suspect) {
        routers.announceWatched(suspect);
    }

    @Override
    public void announceQuarantined(Quarantine.Entry entry) {
        routers.announceQuarantined(entry);
        store.write(entry);
    }

    @Override
    public void announceRefused(Quarantine.Entry entry) {
        routers.announceRefused(entry);
    }

    @Override
    public void announceCleared(CrashSuspect suspect, Duration sentAgo) {
        routers.announceCleared(suspect, sentAgo);
    }

    @Override
    public void removeStored(CrashSuspect suspect) {
        store.remove(suspect);
    }

    @Override
    public void announceEarlierSuccess(CrashSuspect suspect, Duration ago) {
        routers.announceEarlierSuccess(suspect, ago);
    }

    @Override
    public void announceSurvivedRuns(CrashSuspect suspect, int runs) {
        routers.announceSurvivedRuns(suspect, runs);
    }
}
