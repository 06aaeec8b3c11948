package io.damaskyoke.direct;

import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.UpstreamCrash;
import java.time.Duration;
import java.util.Map;

/** Discards all announcements. */
final class SilentCrashAnnouncer implements CrashAnnouncer {
    @Override
    public void announceRunsAtCrash(
            UpstreamCrash crash, Duration ago, Map<RequestDigest, Duration> runTimes) {}

    @Override
    public void announceCrash(UpstreamCrash crash) {}

    @Override
    public void forwardCrash(UpstreamCrash crash) {}

    @Override
    public void announceWatched(RequestDigest request) {}

    @Override
    public void announceQuarantined(Quarantine.Entry entry) {}

    @Override
    public void announceRefused(Quarantine.Entry entry) {}

    @Override
    public void removeStored(RequestDigest request) {}

    @Override
    public void announceCleared(RequestDigest request, Duration sentAgo) {}

    @Override
    public void announceEarlierSuccess(RequestDigest request, Duration ago) {}

    @Override
    public void announceSurvivedRuns(RequestDigest request, int runs) {}
}
