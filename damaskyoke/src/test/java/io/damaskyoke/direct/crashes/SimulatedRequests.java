package io.damaskyoke.direct.crashes;

import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.RequestIdentity;
import java.util.Optional;
import java.util.Random;

/** The requests that the callers of a {@link CrashSimulation} send. */
interface SimulatedRequests {
    int CRASHES_OF_A_REQUEST = 3;
    int CRASHES_OF_A_PART = 5;

    /** Returns a request that crashes nothing. */
    RequestIdentity innocent(Random random);

    /** Returns a request that crashes each upstream that runs it. */
    RequestIdentity poison();

    /**
     * Returns what in the request crashes each upstream that runs it; empty for an innocent one.
     */
    Optional<CrashSuspect> poisonIn(RequestIdentity request);

    /** Returns true if the request is one of those that are sent again and again. */
    boolean isPoll(RequestIdentity request);

    /** Returns the crash from which the routers have some time to quarantine the cause. */
    static int crashesToKnow(CrashSuspect poison) {
        return poison.isPromptPart() ? CRASHES_OF_A_PART : CRASHES_OF_A_REQUEST;
    }
}
