package io.damaskyoke.control.crashes;

import java.util.ArrayList;
import java.util.List;

/**
 * What a request may be recognized by when upstreams crash: itself, if it is sent again, and the
 * prompt parts that it shares with other requests.
 *
 * @param request the whole request
 * @param promptParts the shared parts of its prompt, without duplicates; empty if it has none
 */
public record RequestIdentity(CrashSuspect request, List<CrashSuspect> promptParts) {
    /** Keeps an unmodifiable copy of the parts. */
    public RequestIdentity {
        promptParts = List.copyOf(promptParts);
    }

    /** Returns the identity of a request without shared prompt parts. */
    public static RequestIdentity of(CrashSuspect request) {
        return new RequestIdentity(request, List.of());
    }

    /** Returns the request and its prompt parts. */
    public List<CrashSuspect> suspects() {
        List<CrashSuspect> all = new ArrayList<>(promptParts.size() + 1);
        all.add(request);
        all.addAll(promptParts);
        return all;
    }
}
