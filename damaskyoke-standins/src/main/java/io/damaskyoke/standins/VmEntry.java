package io.damaskyoke.standins;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Set;

/** A VM as the platform's list shows it. */
@JsonIgnoreProperties(ignoreUnknown = true)
public record VmEntry(
        String vm,
        String role,
        @JsonProperty("availability_zone") String availabilityZone,
        String address,
        @JsonProperty("peer_port") int peerPort,
        @JsonProperty("operator_port") int operatorPort,
        String state) {
    private static final Set<String> ROLES = Set.of("router", "agent");
    private static final Set<String> STATES = Set.of("live", "leaving");

    /** Refuses values that make no sense, with what is wrong with them. */
    public VmEntry {
        if (vm == null || vm.isEmpty()) {
            throw new IllegalArgumentException("A VM needs a name in \"vm\"");
        }
        if (role == null || !ROLES.contains(role)) {
            throw new IllegalArgumentException("The role must be router or agent: " + role);
        }
        if (state == null || !STATES.contains(state)) {
            throw new IllegalArgumentException("The state must be live or leaving: " + state);
        }
        if (address == null || availabilityZone == null) {
            throw new IllegalArgumentException("A VM needs \"address\" and \"availability_zone\"");
        }
    }

    /** The same VM in another state. */
    public VmEntry withState(String next) {
        return new VmEntry(vm, role, availabilityZone, address, peerPort, operatorPort, next);
    }
}
