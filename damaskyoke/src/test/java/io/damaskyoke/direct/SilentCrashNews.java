package io.damaskyoke.direct;

import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.UpstreamCrash;
import java.time.Duration;
import java.util.Map;

/** Discards all announcements. */
final class SilentCrashNews implements CrashNews {
    @Override
    public void ended(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {}

    @Override
    public void found(UpstreamCrash end) {}

    @Override
    public void passEndOn(UpstreamCrash end) {}

    @Override
    public void watched(RequestDigest request) {}

    @Override
    public void keptOut(Quarantine.Entry entry) {}

    @Override
    public void refused(Quarantine.Entry entry) {}

    @Override
    public void released(RequestDigest request) {}

    @Override
    public void cleared(RequestDigest request, Duration sentAgo) {}

    @Override
    public void succeededBefore(RequestDigest request, Duration ago) {}

    @Override
    public void borne(RequestDigest request, int times) {}
}
