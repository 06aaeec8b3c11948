package io.damaskyoke.direct;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.damaskyoke.direct.DirectException.Code;
import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.PeerAddress;
import java.io.IOException;

/** What a router writes of itself into the store, under its lease, for the others to find it. */
record RouterEntry(VmId vm, String zone, String host, int port) {
    private static final ObjectMapper JSON = new ObjectMapper();

    private record Stored(
            @JsonProperty("vm") String vm,
            @JsonProperty("zone") String zone,
            @JsonProperty("host") String host,
            @JsonProperty("port") int port) {}

    byte[] toJson() {
        try {
            return JSON.writeValueAsBytes(new Stored(vm.value(), zone, host, port));
        } catch (IOException e) {
            throw new DirectException(Code.MALFORMED, "can't write a router's entry", e);
        }
    }

    static RouterEntry parse(byte[] json) {
        try {
            Stored stored = JSON.readValue(json, Stored.class);
            return new RouterEntry(
                    VmId.of(stored.vm()), stored.zone(), stored.host(), stored.port());
        } catch (IOException | IllegalArgumentException e) {
            throw new DirectException(Code.MALFORMED, "can't read a router's entry", e);
        }
    }

    PeerAddress address() {
        return new PeerAddress(vm, host, port);
    }
}
