package io.damaskyoke.direct;

import io.damaskyoke.control.crashes.Quarantine;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.crashes.UpstreamCrash;
import java.time.Duration;
import java.util.Map;

/** Announces to the other routers at once, and stores the quarantine, which must outlive them. */
final class StoredCrashNews implements CrashNews {
    private final CrashNews routers;
    private final QuarantineStore store;

    StoredCrashNews(CrashNews routers, QuarantineStore store) {
        this.routers = routers;
        this.store = store;
    }

    @Override
    public void ended(UpstreamCrash end, Duration ago, Map<RequestDigest, Duration> ran) {
        routers.ended(end, ago, ran);
    }

    @Override
    public void found(UpstreamCrash end) {
        routers.found(end);
    }

    @Override
    public void passEndOn(UpstreamCrash end) {
        routers.passEndOn(end);
    }

    @Override
    public void watched(RequestDigest request) {
        routers.watched(request);
    }

    @Override
    public void keptOut(Quarantine.Entry entry) {
        routers.keptOut(entry);
        store.write(entry);
    }

    @Override
    public void refused(Quarantine.Entry entry) {
        routers.refused(entry);
    }

    @Override
    public void cleared(RequestDigest request, Duration sentAgo) {
        routers.cleared(request, sentAgo);
    }

    @Override
    public void released(RequestDigest request) {
        store.remove(request);
    }

    @Override
    public void succeededBefore(RequestDigest request, Duration ago) {
        routers.succeededBefore(request, ago);
    }

    @Override
    public void borne(RequestDigest request, int times) {
        routers.borne(request, times);
    }
}
