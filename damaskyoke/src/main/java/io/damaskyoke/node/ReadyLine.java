package io.damaskyoke.node;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * What a process prints as one JSON line once it takes work, so that scripts learn the ports that
 * the kernel chose.
 */
public record ReadyLine(
        @JsonProperty("role") String role,
        @JsonProperty("vm") String vm,
        @JsonProperty("availability_zone") String availabilityZone,
        @JsonProperty("operator_url") String operatorUrl,
        @JsonProperty("peer_port") int peerPort,
        @JsonProperty("operator_port") int operatorPort,
        @JsonProperty("caller_url") @JsonInclude(JsonInclude.Include.NON_NULL) String callerUrl) {
    private static final ObjectMapper JSON = new ObjectMapper();

    ReadyLine(
            String role,
            String vm,
            String availabilityZone,
            String operatorUrl,
            int peerPort,
            int operatorPort) {
        this(role, vm, availabilityZone, operatorUrl, peerPort, operatorPort, null);
    }

    /** The same line with the URL that callers use, for routers. */
    public ReadyLine callers(String url) {
        return new ReadyLine(role, vm, availabilityZone, operatorUrl, peerPort, operatorPort, url);
    }

    /** The line itself. */
    public String toJson() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of texts and numbers can be written", e);
        }
    }
}
