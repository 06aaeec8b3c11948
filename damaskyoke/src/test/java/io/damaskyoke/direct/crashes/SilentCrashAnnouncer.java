package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.UpstreamCrash;
import java.time.Duration;
import java.util.List;

/** Discards all announcements. */
public class SilentCrashAnnouncer implements CrashAnnouncer {
    @Override
    public void announceRunsAtCrash(UpstreamCrash crash, Duration ago, List<CrashedRun> runs) {}

    @Override
    public void announceCrash(UpstreamCrash crash) {}

    @Override
    public void forwardCrash(UpstreamCrash crash) {}

    @Override
    public void announceWatched(CrashSuspect suspect) {}

    @Override
    public void announceQuarantined(Quarantine.Entry entry) {}

    @Override
    public void announceRefused(Quarantine.Entry entry) {}

    @Override
    public void removeStored(CrashSuspect suspect) {}

    @Override
    public void announceCleared(CrashSuspect suspect, Duration sentAgo) {}

    @Override
    public void announceEarlierSuccess(CrashSuspect suspect, Duration ago) {}

    @Override
    public void announceSurvivedRuns(CrashSuspect suspect, int runs) {}
}
