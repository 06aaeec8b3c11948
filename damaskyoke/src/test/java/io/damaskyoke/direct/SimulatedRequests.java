package io.damaskyoke.direct;

import io.damaskyoke.control.crashes.RequestIdentity;
import java.util.Random;

/** The requests that the callers of a {@link CrashSimulation} send. */
interface SimulatedRequests {
    /** Returns a request that crashes nothing. */
    RequestIdentity innocent(Random random);

    /** Returns a request that crashes each upstream that runs it. */
    RequestIdentity poison();

    /** Returns true if the request crashes each upstream that runs it. */
    boolean isPoison(RequestIdentity request);

    /** Returns true if the request is one of those that are sent again and again. */
    boolean isPoll(RequestIdentity request);

    /** Returns the crash from which the routers have some time to quarantine the cause. */
    int crashesToKnow();
}
