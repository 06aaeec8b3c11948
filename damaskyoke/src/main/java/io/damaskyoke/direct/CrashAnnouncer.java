package io.damaskyoke.direct;

import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.UpstreamCrash;
import java.time.Duration;
import java.util.Map;

/** Announces crashes of upstreams and poison requests to the other routers. */
interface CrashAnnouncer {
    /** Announces to the counting routers a crash so long ago and how long each request had run. */
    void announceRunsAtCrash(
            UpstreamCrash crash, Duration ago, Map<RequestDigest, Duration> runTimes);

    /** Announces to all others that an upstream has crashed, through those that pass it on. */
    void announceCrash(UpstreamCrash crash);

    /** Passes a crash on to all others, if this router is one of those that do so. */
    void forwardCrash(UpstreamCrash crash);

    /**
     * Announces to all others that a further crash quarantines the request; a success clears it.
     */
    void announceWatched(RequestDigest request);

    /** Announces to all others that the request is quarantined. */
    void announceQuarantined(Quarantine.Entry entry);

    /** Announces to the counting routers that this one refuses the request; they may correct it. */
    void announceRefused(Quarantine.Entry entry);

    /** Announces to all others that the request, sent so long ago, has now succeeded. */
    void announceCleared(RequestDigest request, Duration sentAgo);

    /** Removes the request from the durable quarantine. */
    void removeStored(RequestDigest request);

    /** Announces to the counting routers that the request succeeded so long ago. */
    void announceEarlierSuccess(RequestDigest request, Duration ago);

    /** Announces to the counting routers the number of runs that did not crash their upstream. */
    void announceSurvivedRuns(RequestDigest request, int runs);
}
