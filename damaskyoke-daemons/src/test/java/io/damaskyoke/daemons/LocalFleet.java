package io.damaskyoke.daemons;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.damaskyoke.agent.Agent;
import io.damaskyoke.node.ReadyLine;
import io.damaskyoke.router.Router;
import io.damaskyoke.settings.Settings;
import io.damaskyoke.standins.KeyValueStandIn;
import io.damaskyoke.standins.ServiceStandIn;
import io.damaskyoke.standins.VmEntry;
import io.damaskyoke.standins.VmListStandIn;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Routers, agents and stand-ins in one process, on loopback and ports by the kernel. */
final class LocalFleet implements AutoCloseable {
    static final String TOKEN = "operator-token-of-a-test";

    private static final ObjectMapper JSON = new ObjectMapper();

    final KeyValueStandIn store = KeyValueStandIn.start(0, InstantSource.system());
    final VmListStandIn list = VmListStandIn.start(0, Duration.ZERO, InstantSource.system());
    final ServiceStandIn service;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Map<String, ReadyLine> ready = new LinkedHashMap<>();
    private final List<Runnable> stops = new ArrayList<>();

    LocalFleet(Duration work) {
        service = ServiceStandIn.start(0, work, InstantSource.system());
    }

    LocalFleet router(String vm) {
        String caller = "[caller]\nhost = \"127.0.0.1\"\nport = 0\n";
        String control = "[control]\nunconfirmed-limit = \"1m\"\n";
        Router router = Router.start(Settings.parseRouter(common(vm) + caller + control, vm));
        return started(vm, "router", router.ready(), router::stop);
    }

    LocalFleet agent(String vm) {
        String upstream =
                "[upstream]\nkind = \"service\"\npool = \"payments\"\nurl = \"%s\"\nmax-running = 1\n"
                        .formatted(service.url());
        Agent agent = Agent.start(Settings.parseAgent(common(vm) + upstream, vm));
        return started(vm, "agent", agent.ready(), agent::stop);
    }

    /** What an agent or router said at its start. */
    ReadyLine ready(String vm) {
        return ready.get(vm);
    }

    /** Shows a VM in the platform's list, at this port for peers. */
    void list(String vm, String role, int peerPort) {
        list.put(
                new VmEntry(
                        vm,
                        role,
                        "kochi-1",
                        "127.0.0.1",
                        peerPort,
                        ready.get(vm).operatorPort(),
                        "live"));
    }

    HttpResponse<String> submit(String router, String ticket) {
        return send(
                operator(router, "/operator/v1/tickets")
                        .POST(HttpRequest.BodyPublishers.ofString(ticket)));
    }

    String operatorGet(String vm, String path) {
        return send(operator(vm, path).GET()).body();
    }

    long sequence(String vm) {
        return json(operatorGet(vm, "/operator/v1/status")).path("config_sequence").asLong();
    }

    boolean isReady(String router) {
        return send(operator(router, "/health/ready").GET()).statusCode() == 200;
    }

    HttpResponse<String> call(String router, String key, String path) {
        return send(caller(router, key, path));
    }

    CompletableFuture<HttpResponse<String>> callLater(String router, String key, String path) {
        return client.sendAsync(
                caller(router, key, path).build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Every key and value in the store, as text. */
    String storeContents() {
        StringBuilder text = new StringBuilder();
        for (JsonNode entry : stored()) {
            text.append(decoded(entry, "key")).append('=').append(decoded(entry, "value"));
        }
        return text.toString();
    }

    /** Lets routers find an agent at another port, behind which its own must be. */
    void redirect(String agent, int port) {
        for (JsonNode entry : stored()) {
            if (decoded(entry, "key").endsWith("/agents/" + agent)) {
                String own = "\"port\":" + ready.get(agent).peerPort();
                String moved = decoded(entry, "value").replace(own, "\"port\":" + port);
                put(entry.path("key").asText(), moved);
            }
        }
        list(agent, "agent", port);
    }

    private JsonNode stored() {
        String all = "{\"key\":\"AA==\",\"range_end\":\"AA==\"}";
        return json(send(gateway("/v3/kv/range", all)).body()).path("kvs");
    }

    private void put(String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        String txn =
                "{\"success\":[{\"requestPut\":{\"key\":\"%s\",\"value\":\"%s\"}}]}"
                        .formatted(key, encoded);
        send(gateway("/v3/kv/txn", txn));
    }

    private HttpRequest.Builder gateway(String path, String body) {
        return HttpRequest.newBuilder(URI.create(store.url() + path))
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        stops.forEach(Runnable::run);
        service.close();
        list.close();
        store.close();
    }

    private LocalFleet started(String vm, String role, ReadyLine line, Runnable stop) {
        ready.put(vm, line);
        stops.add(stop);
        list(vm, role, line.peerPort());
        return this;
    }

    private String common(String vm) {
        return """
        [process]
        vm = "%s"
        availability-zone = "kochi-1"
        key-secret = "secret-of-a-test-fleet"
        [platform]
        store = ["%s"]
        store-timeout = "10s"
        vm-list = "%s/vms"
        vm-list-period = "200ms"
        [operator]
        host = "127.0.0.1"
        port = 0
        token = "%s"
        [peer]
        host = "127.0.0.1"
        port = 0
        [stop]
        balancer-wait = "0s"
        limit = "10m"
        """
                .formatted(vm, store.url(), list.url(), TOKEN);
    }

    private HttpRequest.Builder operator(String vm, String path) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + ready.get(vm).operatorPort() + path))
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + TOKEN);
    }

    private HttpRequest.Builder caller(String router, String key, String path) {
        return HttpRequest.newBuilder(URI.create(ready.get(router).callerUrl() + path))
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + key)
                .POST(HttpRequest.BodyPublishers.ofString("{\"pay\":1}"));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) {
        try {
            return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private static String decoded(JsonNode entry, String field) {
        return new String(
                Base64.getDecoder().decode(entry.path(field).asText()), StandardCharsets.UTF_8);
    }
}
