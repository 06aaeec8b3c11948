package io.damaskyoke.router;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.damaskyoke.control.routing.AgentEndpoint;
import io.damaskyoke.control.routing.AgentLoad;
import io.damaskyoke.control.routing.Fleet;
import io.damaskyoke.node.Node;
import java.util.List;
import java.util.Map;

/** The answer to {@code /operator/v1/status} at a router. */
record RouterStatus(
        @JsonProperty("vm") String vm,
        @JsonProperty("role") String role,
        @JsonProperty("availability_zone") String availabilityZone,
        @JsonProperty("incarnation") String incarnation,
        @JsonProperty("config_sequence") long configSequence,
        @JsonProperty("config_confirmed_ms_ago") Long configConfirmedMillisAgo,
        @JsonProperty("store") String store,
        @JsonProperty("draining") boolean draining,
        @JsonProperty("running") int running,
        @JsonProperty("waiting") int waiting,
        @JsonProperty("agents") List<Agent> agents,
        @JsonProperty("sections") Map<String, Object> sections) {

    static RouterStatus of(Node node, Fleet fleet, RequestDispatcher dispatcher, boolean draining) {
        return new RouterStatus(
                node.vm().value(),
                "router",
                node.zone().value(),
                node.incarnation().value(),
                node.configuration().current().sequence(),
                node.confirmedMillisAgo(),
                node.store().up() ? "up" : "down",
                draining,
                dispatcher.running(),
                dispatcher.waiting(),
                fleet.endpoints().stream()
                        .map(member -> Agent.of(member, fleet.load(member.vm())))
                        .toList(),
                node.sections().read());
    }

    /** An agent, with the load that this router last received from it. */
    record Agent(
            @JsonProperty("vm") String vm,
            @JsonProperty("pool") String pool,
            @JsonProperty("running") int running,
            @JsonProperty("waiting") int waiting,
            @JsonProperty("loaded") List<String> loaded) {

        static Agent of(AgentEndpoint member, AgentLoad load) {
            return new Agent(
                    member.vm().value(),
                    member.pool().value(),
                    load.running(),
                    load.waiting(),
                    load.loaded().stream().map(Object::toString).sorted().toList());
        }
    }
}
