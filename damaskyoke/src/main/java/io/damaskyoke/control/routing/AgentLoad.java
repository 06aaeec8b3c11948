package io.damaskyoke.control.routing;

import io.damaskyoke.id.ModelName;
import java.util.Set;

/**
 * What an agent last said of its load; it rides on answers and heartbeats, so it lags.
 *
 * @param running requests at the upstream
 * @param waiting requests in the agent's queue
 * @param limit requests that may be at the upstream at once
 * @param loaded models and adapters ready to serve
 * @param loading models and adapters being loaded
 */
public record AgentLoad(
        int running, int waiting, int limit, Set<ModelName> loaded, Set<ModelName> loading) {
    /** What is assumed of an agent that has said nothing yet. */
    public static final AgentLoad UNKNOWN = new AgentLoad(0, 0, 1, Set.of(), Set.of());

    /** Copies the sets. */
    public AgentLoad {
        loaded = Set.copyOf(loaded);
        loading = Set.copyOf(loading);
    }

    /** Requests there for each that may run at once: 1.0 is full. */
    public double pressure(int extra) {
        return (double) (running + waiting + extra) / Math.max(1, limit);
    }
}
