package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.CrashedRun;
import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.UpstreamCrash;
import java.time.Duration;
import java.util.List;

/** Announces crashes of upstreams and their suspects to the other routers. */
public interface CrashAnnouncer {
    /** Announces to the counting routers a crash so long ago and the runs at it. */
    void announceRunsAtCrash(UpstreamCrash crash, Duration ago, List<CrashedRun> runs);

    /** Announces to all others that an upstream has crashed, through those that pass it on. */
    void announceCrash(UpstreamCrash crash);

    /** Passes a crash on to all others, if this router is one of those that do so. */
    void forwardCrash(UpstreamCrash crash);

    /**
     * Announces to all others that a further crash quarantines the suspect; a success clears it.
     */
    void announceWatched(CrashSuspect suspect);

    /** Announces to all others that the suspect is quarantined. */
    void announceQuarantined(Quarantine.Entry entry);

    /** Announces to the counting routers that this one refuses the suspect; they may correct it. */
    void announceRefused(Quarantine.Entry entry);

    /**
     * Announces to all others that a request of the suspect, sent so long ago, has now succeeded.
     */
    void announceCleared(CrashSuspect suspect, Duration sentAgo);

    /** Removes the suspect from the durable quarantine. */
    void removeStored(CrashSuspect suspect);

    /** Announces to the counting routers that a request of the suspect succeeded so long ago. */
    void announceEarlierSuccess(CrashSuspect suspect, Duration ago);

    /** Announces to the counting routers the number of runs that did not crash their upstream. */
    void announceSurvivedRuns(CrashSuspect suspect, int runs);
}
