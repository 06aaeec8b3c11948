package io.damaskyoke.daemons;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.agent.Agent;
import io.damaskyoke.router.Router;
import io.damaskyoke.settings.Settings;
import io.damaskyoke.standins.KeyValueStandIn;
import io.damaskyoke.standins.ServiceStandIn;
import io.damaskyoke.standins.VmListStandIn;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Two routers, and one agent beside a service that takes payments, in this JVM. */
final class PaymentsFleet implements AutoCloseable {
    private static final String TOKEN = "operators-token-of-tests";
    private static final String KEY = "a-caller-key-of-leases";
    private static final Duration START_LIMIT = Duration.ofSeconds(20);
    private static final String TICKET =
            """
            {"number": 1,
             "workspaces": [{"id": "leases", "rate": 100000, "burst": 1000000}],
             "keys": [{"id": "leases-1", "workspace": "leases",
                       "key": "a-caller-key-of-leases", "state": "granted"}],
             "services": [{"name": "payments", "pool": "payments"}]}
            """;

    final KeyValueStandIn store = KeyValueStandIn.start(0, InstantSource.system());
    final ServiceStandIn service;
    private final VmListStandIn list =
            VmListStandIn.start(0, Duration.ZERO, InstantSource.system());
    private final HttpClient http = HttpClient.newHttpClient();
    private final List<Router> routers = new ArrayList<>();
    private final Agent agent;

    private PaymentsFleet(Duration work) {
        service = ServiceStandIn.start(0, work, InstantSource.system());
        routers.add(router("router-1"));
        routers.add(router("router-2"));
        agent = Agent.start(Settings.parseAgent(common("agent-1") + upstream(), "agent.toml"));
    }

    /** Starts it; returns once both routers know the ticket and the agent. */
    static PaymentsFleet start(Duration work) {
        PaymentsFleet fleet = new PaymentsFleet(work);
        fleet.submitTicket();
        for (int router = 0; router < 2; router++) {
            int each = router;
            await().atMost(START_LIMIT).untilAsserted(() -> assertServed(fleet.get(each)));
        }
        return fleet;
    }

    /** Pays; the deadline is in seconds, and the key may be null. */
    CompletableFuture<HttpResponse<String>> pay(int router, String key, String body, int deadline) {
        HttpRequest.Builder request =
                request(router, "/pay")
                        .header("Request-Timeout", Integer.toString(deadline))
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (key != null) {
            request.header("Idempotency-Key", key);
        }
        return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    @Override
    public void close() {
        agent.stop();
        routers.forEach(Router::stop);
        service.close();
        list.close();
        store.close();
    }

    private HttpResponse<String> get(int router) throws IOException, InterruptedException {
        return http.send(
                request(router, "/lookup").GET().build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(int router, String path) {
        String url = routers.get(router).ready().callerUrl();
        return HttpRequest.newBuilder(URI.create(url + "/v1/services/payments" + path))
                .header("Authorization", "Bearer " + KEY);
    }

    private void submitTicket() {
        String url = routers.get(0).ready().operatorUrl();
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(url + "/operator/v1/tickets"))
                        .header("Authorization", "Bearer " + TOKEN)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(TICKET))
                        .build();
        await().atMost(START_LIMIT)
                .untilAsserted(
                        () ->
                                assertServed(
                                        http.send(request, HttpResponse.BodyHandlers.ofString())));
    }

    private static void assertServed(HttpResponse<String> answer) {
        assertEquals(200, answer.statusCode(), answer.body());
    }

    private Router router(String vm) {
        String caller =
                """
                [caller]
                host = "127.0.0.1"
                port = 0
                [control]
                unconfirmed-limit = "60s"
                """;
        return Router.start(Settings.parseRouter(common(vm) + caller, "router.toml"));
    }

    private String upstream() {
        return """
        [upstream]
        kind = "service"
        pool = "payments"
        url = "%s"
        """
                .formatted(service.url());
    }

    private String common(String vm) {
        return """
        [process]
        vm = "%s"
        availability-zone = "jatim-a"
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
        [stop]
        balancer-wait = "0s"
        limit = "10m"
        """
                .formatted(vm, store.url(), list.url(), TOKEN);
    }
}
