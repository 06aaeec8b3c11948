package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.RequestIdentity;
import java.util.Optional;
import java.util.Random;

/** Requests without prompt parts, and one poison request that is sent again and again. */
final class RepeatedPoisonRequest implements SimulatedRequests {
    private static final int POLLERS = 5;
    private static final RequestIdentity POISON =
            RequestIdentity.of(CrashSuspect.request("deadly"));

    private long innocents;

    // One request in four repeats one of a few polls; the others are sent only once.
    @Override
    public RequestIdentity innocent(Random random) {
        String id =
                random.nextInt(4) == 0 ? "poll-" + random.nextInt(POLLERS) : "once-" + ++innocents;
        return RequestIdentity.of(CrashSuspect.request(id));
    }

    @Override
    public RequestIdentity poison() {
        return POISON;
    }

    @Override
    public Optional<CrashSuspect> poisonIn(RequestIdentity request) {
        return request.equals(POISON) ? Optional.of(POISON.request()) : Optional.empty();
    }

    @Override
    public boolean isPoll(RequestIdentity request) {
        return request.request().id().startsWith("poll-");
    }
}
