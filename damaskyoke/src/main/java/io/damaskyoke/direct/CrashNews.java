package io.damaskyoke.direct;

import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.UpstreamCrash;
import java.time.Duration;
import java.util.Map;

/** What routers tell each other of requests under which upstreams end. */
interface CrashNews {
    /** Tells those that count that an upstream ended so long ago, and how long these had run. */
    void ended(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran);

    /** Tells all others that an upstream has ended, through those that pass it on. */
    void found(UpstreamCrash end);

    /** Tells all others so, if this router is one of those that pass it on. */
    void passEndOn(UpstreamCrash end);

    /** Tells all others that one more end is enough, and that a success would clear it. */
    void watched(RequestDigest request);

    /** Tells all others that the request is kept out. */
    void keptOut(Quarantine.Entry entry);

    /** Tells those that count that this router refuses the request, in case they know better. */
    void refused(Quarantine.Entry entry);

    /** Tells all others that the request, sent so long ago, was answered with a success now. */
    void cleared(RequestDigest request, Duration sentAgo);

    /** Takes it out of what outlives the routers: it is kept out no longer. */
    void released(RequestDigest request);

    /** Tells those that count that the request was answered with a success so long ago. */
    void succeededBefore(RequestDigest request, Duration ago);

    /** Tells those that count that an upstream took the request so often and did not end. */
    void borne(RequestDigest request, int times);
}
