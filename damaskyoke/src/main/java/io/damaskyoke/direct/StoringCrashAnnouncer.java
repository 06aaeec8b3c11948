package io.damaskyoke.direct;

import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.UpstreamCrash;
import java.time.Duration;
import java.util.Map;

/** Announces to the other routers at once, and stores the quarantine, which must outlive them. */
final class StoringCrashAnnouncer implements CrashAnnouncer {
    private final CrashAnnouncer routers;
    private final QuarantineStore store;

    StoringCrashAnnouncer(CrashAnnouncer routers, QuarantineStore store) {
        this.routers = routers;
        this.store = store;
    }

    @Override
    public void announceRunsAtCrash(
            UpstreamCrash crash, Duration ago, Map<RequestDigest, Duration> runTimes) {
        routers.announceRunsAtCrash(crash, ago, runTimes);
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
    public void announceWatched(RequestDigest request) {
        routers.announceWatched(request);
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
    public void announceCleared(RequestDigest request, Duration sentAgo) {
        routers.announceCleared(request, sentAgo);
    }

    @Override
    public void removeStored(RequestDigest request) {
        store.remove(request);
    }

    @Override
    public void announceEarlierSuccess(RequestDigest request, Duration ago) {
        routers.announceEarlierSuccess(request, ago);
    }

    @Override
    public void announceSurvivedRuns(RequestDigest request, int runs) {
        routers.announceSurvivedRuns(request, runs);
    }
}
