package io.damaskyoke.direct;

import io.damaskyoke.http.HttpCall;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds requests that arrive before this router has read its first configuration.
 *
 * <p>After a restart of all routers, callers connect before the configuration is read, which takes
 * a quarter of a second on a small VM. If refused at once, the request of a caller that retries
 * only once would be lost. So requests wait for a short time. Once that time has passed without a
 * configuration, as in an outage of the store, later requests are refused at once.
 */
final class StartupCallQueue {
    /** Twice the time that the first read takes on the smallest VMs. */
    private static final Duration MAX_WAIT = Duration.ofMillis(600);

    /** Most waiting requests that a small VM can hold; any others are refused at once. */
    private static final int MAX_CALLS = 512;

    private final InstantSource clock;
    private final ArrayDeque<HttpCall> calls = new ArrayDeque<>();
    private Instant expiresAt;

    StartupCallQueue(InstantSource clock) {
        this.clock = clock;
    }

    /** Adds a request; {@link #takeExpired} returns it if no configuration is read in time. */
    void add(HttpCall call) {
        if (expiresAt == null) {
            expiresAt = clock.instant().plus(MAX_WAIT);
        }
        calls.add(call);
    }

    /** Removes all requests and returns those whose callers are still connected. */
    List<HttpCall> takeAll() {
        List<HttpCall> connected = new ArrayList<>(calls);
        calls.clear();
        connected.removeIf(HttpCall::over);
        return connected;
    }

    /** Removes and returns the requests to refuse: all after the wait, and those over the limit. */
    List<HttpCall> takeExpired() {
        if (expiresAt != null && !clock.instant().isBefore(expiresAt)) {
            return takeAll();
        }
        List<HttpCall> excess = new ArrayList<>();
        while (calls.size() > MAX_CALLS) {
            excess.add(calls.removeLast());
        }
        return excess;
    }
}
