package io.damaskyoke.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.PlatformException.Code;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * The platform's list by one HTTP GET: {@code HttpVmList.of(system, uri, Duration.ofSeconds(2))}.
 *
 * <p>The answer is {@code {"vms":[{"vm","role","availability_zone","address","peer_port",
 * "operator_port","state"}]}}. A list with a line that can't be read fails as a whole: to drop the
 * line would look as if the VM were gone.
 */
public final class HttpVmList implements VmList {
    private static final int OK = 200;
    private static final int MAX_PORT = 65_535;
    private static final int MAX_RUNNING = 4;
    private static final long MAX_ANSWER_BYTES = 16L << 20;

    private final SingleCalls calls;
    private final URI address;
    private final Duration timeout;

    private HttpVmList(ActorSystem system, URI address, Duration timeout) {
        this.calls = new SingleCalls(system, address, MAX_RUNNING, timeout, MAX_ANSWER_BYTES);
        this.address = address;
        this.timeout = timeout;
    }

    /** A list at this address, each reading bounded by the time limit. */
    public static HttpVmList of(ClassicActorSystemProvider system, URI address, Duration timeout) {
        Objects.requireNonNull(address, "address");
        if (timeout.isNegative() || timeout.isZero()) {
            throw new IllegalArgumentException("timeout must be positive: " + timeout);
        }
        return new HttpVmList(system.classicSystem(), address, timeout);
    }

    @Override
    public CompletionStage<List<Vm>> read() {
        return calls.send(HttpRequest.GET(address.toString()), timeout)
                .thenApply(HttpVmList::body)
                .handle(HttpVmList::finish);
    }

    private static byte[] body(SingleCalls.Reply reply) {
        if (reply.status() != OK) {
            throw new PlatformException(
                    Code.UNAVAILABLE, "the list of VMs answered " + reply.status());
        }
        return reply.body();
    }

    private static List<Vm> finish(byte[] body, Throwable error) {
        if (error == null) {
            return parse(EtcdJson.parse(body));
        }
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        if (cause instanceof PlatformException known) {
            throw known;
        }
        throw new PlatformException(Code.UNAVAILABLE, "the list of VMs: " + cause, cause);
    }

    private static List<Vm> parse(JsonNode answer) {
        if (!answer.path("vms").isArray()) {
            throw new PlatformException(Code.BAD_ANSWER, "the list of VMs has no field vms");
        }
        List<Vm> vms = new ArrayList<>();
        for (JsonNode line : answer.path("vms")) {
            try {
                vms.add(vm(line));
            } catch (IllegalArgumentException e) {
                throw new PlatformException(
                        Code.BAD_ANSWER, "line " + vms.size() + " of the list of VMs: " + e, e);
            }
        }
        return List.copyOf(vms);
    }

    private static Vm vm(JsonNode line) {
        return new Vm(
                VmId.of(line.path("vm").asText()),
                Role.valueOf(line.path("role").asText().toUpperCase(Locale.ROOT)),
                AvailabilityZone.of(line.path("availability_zone").asText()),
                address(line),
                port(line, "peer_port"),
                port(line, "operator_port"),
                State.valueOf(line.path("state").asText().toUpperCase(Locale.ROOT)));
    }

    private static String address(JsonNode line) {
        String address = line.path("address").asText();
        if (address.isBlank()) {
            throw new IllegalArgumentException("address is missing");
        }
        return address;
    }

    private static int port(JsonNode line, String field) {
        int port = line.path(field).asInt(-1);
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException(field + " must be from 0 to " + MAX_PORT);
        }
        return port;
    }
}
