package io.damaskyoke.direct;

import io.damaskyoke.http.HttpCall;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Requests that came before this router had its first configuration.
 *
 * <p>After a restart of all routers callers connect before the configuration is read, which takes a
 * quarter of a second on a small VM. Refused then, each would be lost to a caller that comes back
 * only once. So they wait a little; once a wait has been in vain, as with the store out, those that
 * follow are refused at once.
 */
final class EarlyCalls {
    /** Twice what the first reading takes on the smallest VMs. */
    private static final Duration WAIT = Duration.ofMillis(600);

    /** What a small VM can hold; the rest is refused at once. */
    private static final int MOST = 512;

    private final InstantSource clock;
    private final ArrayDeque<HttpCall> calls = new ArrayDeque<>();
    private Instant until;

    EarlyCalls(InstantSource clock) {
        this.clock = clock;
    }

    /** Keeps a request; {@link #late} hands it out again if it waits in vain. */
    void add(HttpCall call) {
        if (until == null) {
            until = clock.instant().plus(WAIT);
        }
        calls.add(call);
    }

    /** All whose callers are still there, to be served now. */
    List<HttpCall> take() {
        List<HttpCall> all = new ArrayList<>(calls);
        calls.clear();
        all.removeIf(HttpCall::over);
        return all;
    }

    /** Those that wait no longer: all once the time is over, and what is too many. */
    List<HttpCall> late() {
        if (until != null && !clock.instant().isBefore(until)) {
            return take();
        }
        List<HttpCall> tooMany = new ArrayList<>();
        while (calls.size() > MOST) {
            tooMany.add(calls.removeLast());
        }
        return tooMany;
    }
}
