package io.damaskyoke.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.VmId;
import java.io.IOException;

/**
 * What an agent writes into the store once at each start, under {@code PREFIX/agents/VM}: what it
 * is there for and where it listens. It has no lease: 2,400 leases kept alive would take more
 * writes a second than the store gives, and who is alive the list of VMs and the links tell.
 */
public record Registration(
        VmId vm,
        Incarnation incarnation,
        PoolName pool,
        AvailabilityZone zone,
        String host,
        int port) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_PORT = 65_535;

    /** The key prefix of all registrations below the deployment's own prefix. */
    public static final String PREFIX = "/agents/";

    /** The stored form. */
    public byte[] toJson() {
        try {
            return JSON.writeValueAsBytes(
                    new Stored(
                            vm.value(),
                            incarnation.value(),
                            pool.value(),
                            zone.value(),
                            host,
                            port));
        } catch (JsonProcessingException e) {
            throw new PlatformException(
                    PlatformException.Code.BAD_ANSWER, "can't write a registration", e);
        }
    }

    /** Reads the stored form, or throws a {@link PlatformException} with {@code BAD_ANSWER}. */
    public static Registration parse(byte[] json) {
        try {
            Stored stored = JSON.readValue(json, Stored.class);
            if (stored == null || !stored.namesAnAddress()) {
                throw new IllegalArgumentException("it names no host or no port");
            }
            return new Registration(
                    VmId.of(stored.vm()),
                    Incarnation.of(stored.incarnation()),
                    PoolName.of(stored.pool()),
                    AvailabilityZone.of(stored.zone()),
                    stored.host(),
                    stored.port());
        } catch (IOException | IllegalArgumentException e) {
            throw new PlatformException(
                    PlatformException.Code.BAD_ANSWER, "can't read a registration", e);
        }
    }

    private record Stored(
            @JsonProperty("vm") String vm,
            @JsonProperty("incarnation") String incarnation,
            @JsonProperty("pool") String pool,
            @JsonProperty("availability_zone") String zone,
            @JsonProperty("host") String host,
            @JsonProperty("port") int port) {
        private boolean namesAnAddress() {
            return host != null && !host.isBlank() && port > 0 && port <= MAX_PORT;
        }
    }
}
