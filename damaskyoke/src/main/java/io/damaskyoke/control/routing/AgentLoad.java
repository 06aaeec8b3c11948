package io.damaskyoke.control.routing;

import io.damaskyoke.id.ModelName;
import java.util.Set;

/**
 * The load that an agent last reported with an answer or a heartbeat, so it may be out of date.
 *
 * @param running number of requests at the upstream
 * @param waiting number of requests in the agent's queue
 * @param limit maximum number of concurrent requests at the upstream
 * @param loaded models and adapters that are ready to serve
 * @param loading models and adapters that are being loaded
 */
public record AgentLoad(
        int running, int waiting, int limit, Set<ModelName> loaded, Set<ModelName> loading) {
    /** The load assumed for an agent that has not reported any. */
    public static final AgentLoad UNKNOWN = new AgentLoad(0, 0, 1, Set.of(), Set.of());

    /** Creates a load with unmodifiable copies of the sets. */
    public AgentLoad {
        loaded = Set.copyOf(loaded);
        loading = Set.copyOf(loading);
    }

    /**
     * Returns the ratio of running and queued requests to the limit; 1.0 means fully used.
     *
     * @param additionalRequests number of requests to add to the reported ones
     */
    public double utilization(int additionalRequests) {
        return (double) (running + waiting + additionalRequests) / Math.max(1, limit);
    }
}
