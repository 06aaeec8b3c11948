package io.damaskyoke.control.replicas;

import java.time.Duration;

/**
 * The limits and first guesses of a {@link ReplicaHolder}.
 *
 * @param loadsAtOnce loads that may be in flight at the engine
 * @param reportLag how old a report can be when it comes
 * @param modelEstimate how long a load takes, until one has been seen
 * @param adapterEstimate the same for adapters
 * @param retryDelay the pause after the first failed order; doubles with each further one
 * @param rateHalfLife after which time a use counts half
 */
public record ReplicaSettings(
        int loadsAtOnce,
        Duration reportLag,
        Duration modelEstimate,
        Duration adapterEstimate,
        Duration retryDelay,
        Duration rateHalfLife) {
    /** Refuses a limit that would never let anything load. */
    public ReplicaSettings {
        if (loadsAtOnce < 1) {
            throw new IllegalArgumentException("loadsAtOnce must be at least 1: " + loadsAtOnce);
        }
    }

    /** Two loads at once, reports up to two seconds old. */
    public static ReplicaSettings defaults() {
        return new ReplicaSettings(
                2,
                Duration.ofSeconds(2),
                Duration.ofSeconds(20),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                Duration.ofMinutes(10));
    }

    /** The same with another limit of loads in flight. */
    public ReplicaSettings loadsAtOnce(int limit) {
        return new ReplicaSettings(
                limit, reportLag, modelEstimate, adapterEstimate, retryDelay, rateHalfLife);
    }

    /** The same with other guesses for loads that were not seen yet. */
    public ReplicaSettings firstEstimates(Duration model, Duration adapter) {
        return new ReplicaSettings(
                loadsAtOnce, reportLag, model, adapter, retryDelay, rateHalfLife);
    }
}
