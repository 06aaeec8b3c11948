package io.damaskyoke.direct;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.damaskyoke.direct.DirectException.Code;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.VmId;
import io.damaskyoke.json.JsonTrees;
import io.damaskyoke.peer.PeerAddress;
import java.io.IOException;
import java.util.OptionalDouble;

/**
 * The entry that a router registers in the store, under its lease, so that others find it.
 *
 * @param capacity processor cores of the router; empty if its settings don't say
 */
record RouterEntry(VmId vm, String zone, String host, int port, OptionalDouble capacity) {
    byte[] toJson() {
        ObjectNode entry = JsonTrees.object();
        entry.put("vm", vm.value()).put("zone", zone).put("host", host).put("port", port);
        capacity.ifPresent(cores -> entry.put("capacity", cores));
        return JsonTrees.write(entry);
    }

    static RouterEntry parse(byte[] json) {
        try {
            JsonNode entry = JsonTrees.read(json);
            return new RouterEntry(
                    VmId.of(text(entry, "vm")),
                    text(entry, "zone"),
                    text(entry, "host"),
                    entry.path("port").asInt(),
                    capacity(entry.path("capacity")));
        } catch (IOException | IllegalArgumentException e) {
            throw new DirectException(
                    Code.MALFORMED, "a router's entry in the store can't be parsed", e);
        }
    }

    /**
     * Returns this entry if others can reach a router by it.
     *
     * @param name the name of the router, by the key of the entry
     * @throws DirectException MALFORMED if it names another router, no zone, or no address
     */
    RouterEntry reachableAs(String name) {
        try {
            AvailabilityZone.of(zone);
            if (vm.value().equals(name) && !address().host().isBlank()) {
                return this;
            }
        } catch (IllegalArgumentException e) {
            throw new DirectException(Code.MALFORMED, e.getMessage(), e);
        }
        throw new DirectException(Code.MALFORMED, "it names another router or no host");
    }

    private static OptionalDouble capacity(JsonNode cores) {
        boolean valid = cores.isNumber() && cores.doubleValue() > 0;
        return valid ? OptionalDouble.of(cores.doubleValue()) : OptionalDouble.empty();
    }

    private static String text(JsonNode entry, String field) {
        String text = entry.path(field).textValue();
        if (text == null) {
            throw new IllegalArgumentException("a router's entry has no text field " + field);
        }
        return text;
    }

    PeerAddress address() {
        return new PeerAddress(vm, host, port);
    }
}
