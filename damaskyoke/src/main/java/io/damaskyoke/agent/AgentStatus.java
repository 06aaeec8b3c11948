package io.damaskyoke.agent;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.damaskyoke.node.Node;
import io.damaskyoke.peer.wire.Load;
import io.damaskyoke.settings.AgentSettings;
import java.util.List;
import java.util.Map;

/** Response body of {@code /operator/v1/status} at an agent. */
record AgentStatus(
        @JsonProperty("vm") String vm,
        @JsonProperty("role") String role,
        @JsonProperty("availability_zone") String availabilityZone,
        @JsonProperty("incarnation") String incarnation,
        @JsonProperty("config_sequence") long configSequence,
        @JsonProperty("config_confirmed_ms_ago") Long configConfirmedMillisAgo,
        @JsonProperty("store") String store,
        @JsonProperty("pool") String pool,
        @JsonProperty("draining") boolean draining,
        @JsonProperty("running") int running,
        @JsonProperty("waiting") int waiting,
        @JsonProperty("memory_bytes") long memoryBytes,
        @JsonProperty("memory_used_bytes") long memoryUsedBytes,
        @JsonProperty("loaded") List<String> loaded,
        @JsonProperty("loading") List<String> loading,
        @JsonProperty("sections") Map<String, Object> sections) {

    static AgentStatus of(Node node, AgentSettings.Upstream upstream, Load load, boolean draining) {
        return new AgentStatus(
                node.vm().value(),
                "agent",
                node.zone().value(),
                node.incarnation().value(),
                node.configuration().current().sequence(),
                node.confirmedMillisAgo(),
                node.store().up() ? "up" : "down",
                upstream.pool(),
                draining,
                load.getRunning(),
                load.getWaiting(),
                load.getMemoryBytes(),
                load.getMemoryUsedBytes(),
                List.copyOf(load.getLoadedList()),
                List.copyOf(load.getLoadingList()),
                node.sections().read());
    }
}
