package io.damaskyoke.daemons;

import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.standins.EngineSettings;
import io.damaskyoke.standins.EngineStandIn;
import io.damaskyoke.standins.KeyValueStandIn;
import io.damaskyoke.standins.ServiceStandIn;
import io.damaskyoke.standins.VmEntry;
import io.damaskyoke.standins.VmListStandIn;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * A whole deployment for a test: stand-ins in this JVM, routers and agents started by a launcher.
 *
 * <p>{@code try (TestFleet fleet = TestFleet.builder().routers(2).engines(2).services(1).start())
 * {fleet.chat(0, "cut-sheet", "two sinks")}}. Routers are {@code router-1 ...}, agents {@code
 * engine-1 ...} in pool {@code engines} and {@code service-1 ...} in pool {@code payments}.
 */
final class TestFleet implements AutoCloseable {
    static final String KEY = "a-caller-key-of-kitchens";
    static final String OTHER_KEY = "a-caller-key-of-leases";
    static final String TOKEN = "operators-token-of-tests";
    static final String FIRST_TICKET =
            """
            {"number": 1,
             "workspaces": [{"id": "kitchens", "rate": 100000, "burst": 1000000},
                            {"id": "leases", "rate": 100000, "burst": 1000000}],
             "keys": [{"id": "kitchens-1", "workspace": "kitchens",
                       "key": "a-caller-key-of-kitchens", "state": "granted"},
                      {"id": "leases-1", "workspace": "leases",
                       "key": "a-caller-key-of-leases", "state": "granted"}],
             "models": [{"name": "cut-sheet", "version": "1", "pool": "engines",
                         "memory_bytes": 1000000, "max_replicas": 1},
                        {"name": "tide-notes", "version": "1", "pool": "engines",
                         "memory_bytes": 1000000, "max_replicas": 1}],
             "services": [{"name": "payments", "pool": "payments"}]}
            """;
    private static final Duration LIMIT = Duration.ofSeconds(30);

    private final Builder settings;
    private final KeyValueStandIn kv = KeyValueStandIn.start(0, InstantSource.system());
    private final VmListStandIn list;
    private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();
    private final Map<String, ServiceStandIn> services = new LinkedHashMap<>();
    private final Map<String, FleetProcess> processes = new LinkedHashMap<>();
    private final Map<String, String> toml = new LinkedHashMap<>();
    private final FleetClient client = new FleetClient();

    private TestFleet(Builder settings) {
        this.settings = settings;
        this.list = VmListStandIn.start(0, settings.listLag, InstantSource.system());
    }

    static Builder builder() {
        return new Builder();
    }

    KeyValueStandIn kv() {
        return kv;
    }

    VmListStandIn list() {
        return list;
    }

    EngineStandIn engine(String name) {
        return Objects.requireNonNull(engines.get(name), name);
    }

    ServiceStandIn service(String name) {
        return Objects.requireNonNull(services.get(name), name);
    }

    Collection<ServiceStandIn> services() {
        return services.values();
    }

    FleetProcess process(String name) {
        return Objects.requireNonNull(processes.get(name), name);
    }

    /** Base URL for callers of the router with this index, from 0. */
    String callerUrl(int router) {
        return process("router-" + (router + 1)).ready().path("caller_url").asText();
    }

    /** Base URL for operators of any process. */
    String operatorUrl(String name) {
        return process(name).ready().path("operator_url").asText();
    }

    /** A chat request of the workspace kitchens. */
    HttpResponse<String> chat(int router, String model, String text) {
        return client.post(callerUrl(router) + "/v1/chat/completions", KEY, body(model, text));
    }

    /** The same, with a bound of the tokens that the answer may have. */
    HttpResponse<String> chatWithLimit(int router, String model, String text, int maxTokens) {
        String body =
                body(model, text)
                        .replace("{\"model\"", "{\"max_tokens\":" + maxTokens + ",\"model\"");
        return client.post(callerUrl(router) + "/v1/chat/completions", KEY, body);
    }

    /** A chat request, answered later; {@code stream} asks for server-sent events. */
    CompletableFuture<HttpResponse<String>> chatLater(
            int router, String model, String text, boolean stream) {
        String body =
                body(model, text).replace("{\"model\"", "{\"stream\":" + stream + ",\"model\"");
        return client.postLater(
                callerUrl(router) + "/v1/chat/completions",
                KEY,
                body,
                Map.of("Request-Timeout", "20"));
    }

    /** A payment of the workspace leases; without an idempotency key if that is empty. */
    CompletableFuture<HttpResponse<String>> pay(int router, String body, String idempotencyKey) {
        return pay(
                router,
                body,
                idempotencyKey.isEmpty() ? Map.of() : Map.of("Idempotency-Key", idempotencyKey));
    }

    /** A payment with a key and a deadline. */
    CompletableFuture<HttpResponse<String>> pay(
            int router, String body, String idempotencyKey, int deadlineSeconds) {
        return pay(
                router,
                body,
                Map.of(
                        "Idempotency-Key",
                        idempotencyKey,
                        "Request-Timeout",
                        Integer.toString(deadlineSeconds)));
    }

    private CompletableFuture<HttpResponse<String>> pay(
            int router, String body, Map<String, String> headers) {
        return client.postLater(
                callerUrl(router) + "/v1/services/payments/pay", OTHER_KEY, body, headers);
    }

    /** A look-up of the workspace leases, which may be repeated. */
    HttpResponse<String> lookUp(int router, String path) {
        return client.get(callerUrl(router) + "/v1/services/payments" + path, OTHER_KEY);
    }

    /** Asks a process's operator port. */
    HttpResponse<String> operator(String name, String path) {
        return client.get(operatorUrl(name) + path, TOKEN);
    }

    JsonNode status(String name) {
        return FleetClient.json(operator(name, "/operator/v1/status").body());
    }

    /** Submits a ticket and waits until it is in force at every process. */
    void submit(String ticket) {
        HttpResponse<String> answer =
                client.post(operatorUrl("router-1") + "/operator/v1/tickets", TOKEN, ticket);
        if (answer.statusCode() != 200) {
            throw new IllegalStateException(answer.body());
        }
        long sequence = FleetClient.json(answer.body()).path("sequence").asLong();
        processes.keySet().forEach(name -> awaitSequence(name, sequence));
    }

    /** Waits until every router knows every agent. */
    void awaitAgents() {
        int agents = engines.size() + services.size();
        for (int i = 1; i <= settings.routers; i++) {
            String router = "router-" + i;
            await().atMost(LIMIT).until(() -> status(router).path("agents").size() == agents);
        }
    }

    /** Starts a process again under its old settings, after it has ended. */
    void restart(String name) {
        process(name).stop();
        launch(roleOf(name), name);
    }

    @Override
    public void close() {
        List<FleetProcess> all = new ArrayList<>(processes.values());
        all.forEach(TestFleet::stopQuietly);
        engines.values().forEach(EngineStandIn::close);
        services.values().forEach(ServiceStandIn::close);
        list.close();
        kv.close();
    }

    private static void stopQuietly(FleetProcess process) {
        try {
            process.stop();
        } catch (RuntimeException e) {
            System.err.println("a process did not stop well: " + e);
        }
    }

    private TestFleet begin() {
        try {
            startUpstreams();
            for (int i = 1; i <= settings.routers; i++) {
                start("router-" + i, "zone-" + i, routerToml() + settings.routerExtra);
            }
            engines.forEach((name, engine) -> agent(name, "engine", "engines", engine.url()));
            services.forEach((name, one) -> agent(name, "service", "payments", one.url()));
            submit(settings.ticket);
            awaitAgents();
            return this;
        } catch (RuntimeException e) {
            close();
            throw e;
        }
    }

    private void startUpstreams() {
        for (int i = 1; i <= settings.engines; i++) {
            String name = "engine-" + i;
            EngineSettings engine = settings.engine.vm(name).build();
            engines.put(name, EngineStandIn.start(0, engine, InstantSource.system()));
        }
        for (int i = 1; i <= settings.services; i++) {
            ServiceStandIn one =
                    ServiceStandIn.start(0, settings.serviceWork, InstantSource.system());
            services.put("service-" + i, one);
        }
    }

    private void agent(String name, String kind, String pool, String url) {
        start(
                name,
                "zone-1",
                "[upstream]\nkind = \"%s\"\npool = \"%s\"\nurl = \"%s\"\n"
                        .formatted(kind, pool, url));
    }

    private void start(String name, String zone, String own) {
        toml.put(name, commonToml(name, zone) + own + settings.extra);
        launch(roleOf(name), name);
    }

    private void launch(String role, String name) {
        FleetProcess process = settings.launcher.launch(role, name, toml.get(name));
        processes.put(name, process);
        if (settings.listed) {
            list.put(entry(role, name, process.ready()));
        }
    }

    private static VmEntry entry(String role, String name, JsonNode ready) {
        return new VmEntry(
                name,
                role,
                ready.path("availability_zone").asText(),
                "127.0.0.1",
                ready.path("peer_port").asInt(),
                ready.path("operator_port").asInt(),
                "live");
    }

    private void awaitSequence(String name, long sequence) {
        await().atMost(LIMIT)
                .ignoreExceptions()
                .until(() -> status(name).path("config_sequence").asLong() >= sequence);
    }

    private static String roleOf(String name) {
        return name.startsWith("router-") ? "router" : "agent";
    }

    private static String body(String model, String text) {
        return "{\"model\":\""
                + model
                + "\",\"messages\":[{\"role\":\"user\",\"content\":\""
                + text
                + "\"}]}";
    }

    private String commonToml(String name, String zone) {
        return """
        [process]
        vm = "%s"
        availability-zone = "%s"
        key-secret = "a secret of tests only"
        [platform]
        store = ["%s"]
        vm-list = "%s/vms"
        vm-list-period = "200ms"
        store-timeout = "1s"
        [operator]
        host = "127.0.0.1"
        port = 0
        token = "%s"
        [peer]
        host = "127.0.0.1"
        port = 0
        heartbeat = "200ms"
        silence = "2s"
        [stop]
        balancer-wait = "100ms"
        limit = "30s"
        """
                .formatted(name, zone, kv.url(), list.url(), TOKEN);
    }

    private static String routerToml() {
        return """
        [caller]
        host = "127.0.0.1"
        port = 0
        max-deadline = "30s"
        default-deadline = "15s"
        """;
    }

    /** What a deployment consists of; small if not set. */
    static final class Builder {
        private int routers = 1;
        private int engines;
        private int services;
        private EngineSettings.Builder engine = EngineSettings.builder();
        private Duration serviceWork = Duration.ZERO;
        private Duration listLag = Duration.ZERO;
        private boolean listed = true;
        private String ticket = FIRST_TICKET;
        private String extra = "";
        private String routerExtra = "";
        private FleetProcess.Launcher launcher = InJvmProcess::launch;

        private Builder() {}

        Builder routers(int count) {
            routers = count;
            return this;
        }

        Builder engines(int count) {
            engines = count;
            return this;
        }

        Builder services(int count) {
            services = count;
            return this;
        }

        /** How all engines behave. */
        Builder engine(EngineSettings.Builder value) {
            engine = value;
            return this;
        }

        /** How long each call of a service runs. */
        Builder serviceWork(Duration value) {
            serviceWork = value;
            return this;
        }

        Builder listLag(Duration value) {
            listLag = value;
            return this;
        }

        /** Leaves the list of VMs empty. */
        Builder unlisted() {
            listed = false;
            return this;
        }

        /** The first ticket, which every test starts with. */
        Builder ticket(String json) {
            ticket = json;
            return this;
        }

        /** Further TOML for all processes, in tables that are not set yet. */
        Builder extra(String text) {
            extra = text;
            return this;
        }

        /** The same for routers only. */
        Builder routerExtra(String text) {
            routerExtra = text;
            return this;
        }

        /** Starts each router and agent otherwise than in this JVM. */
        Builder launcher(FleetProcess.Launcher value) {
            launcher = value;
            return this;
        }

        /** Starts everything and returns once the first ticket is in force and agents are known. */
        TestFleet start() {
            return new TestFleet(this).begin();
        }
    }
}
