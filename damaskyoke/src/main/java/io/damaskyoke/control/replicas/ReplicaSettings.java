package io.damaskyoke.control.replicas;

import java.time.Duration;

/**
 * Limits and initial estimates of a {@link ReplicaManager}.
 *
 * @param loadsAtOnce how many loads may be in progress at the engine
 * @param reportLag how old a report can be when it is received
 * @param modelEstimate how long the load of a model takes, until one has been measured
 * @param adapterEstimate how long the load of an adapter takes, until one has been measured
 * @param retryDelay the pause after the first failed load; doubled after each further failure
 * @param rateHalfLife the time after which a use counts half
 */
public record ReplicaSettings(
        int loadsAtOnce,
        Duration reportLag,
        Duration modelEstimate,
        Duration adapterEstimate,
        Duration retryDelay,
        Duration rateHalfLife) {
    /** Rejects a limit that would never let anything load. */
    public ReplicaSettings {
        if (loadsAtOnce < 1) {
            throw new IllegalArgumentException("loadsAtOnce must be at least 1: " + loadsAtOnce);
        }
    }

    /** Returns the defaults: two concurrent loads, and reports that are up to two seconds old. */
    public static ReplicaSettings defaults() {
        return new ReplicaSettings(
                2,
                Duration.ofSeconds(2),
                Duration.ofSeconds(20),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                Duration.ofMinutes(10));
    }

    /** Returns a copy with another limit of concurrent loads. */
    public ReplicaSettings withLoadsAtOnce(int limit) {
        return new ReplicaSettings(
                limit, reportLag, modelEstimate, adapterEstimate, retryDelay, rateHalfLife);
    }

    /** Returns a copy with other estimates for loads that have not been measured yet. */
    public ReplicaSettings withEstimates(Duration model, Duration adapter) {
        return new ReplicaSettings(
                loadsAtOnce, reportLag, model, adapter, retryDelay, rateHalfLife);
    }
}
