package io.damaskyoke.daemons;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.standins.Fault;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConfigurationFleetTest {
    private static final String KEY = "sk-planted-51c1f0";
    private static final String PAY = "/v1/services/pay/lease";
    private static final Duration SOON = Duration.ofSeconds(20);

    private LocalFleet fleet = new LocalFleet(Duration.ZERO);

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void aTicketIsInForceInEveryProcessAndSentTwiceItIsAcceptedOnce() {
        fleet.router("router-1").router("router-2").agent("agent-1");
        JsonNode first = accepted("router-1", service(1));
        assertEquals(first, accepted("router-2", service(1)));
        inForce(1, "router-1", "router-2", "agent-1");
        assertEquals(409, fleet.submit("router-2", workspace(1, "other")).statusCode());
    }

    @Test
    void ofOperatorsRacingForANumberOneWinsAndBothRoutersAgree() {
        fleet.router("router-1").router("router-2");
        CompletableFuture<HttpResponse<String>> one =
                CompletableFuture.supplyAsync(() -> fleet.submit("router-1", workspace(1, "a")));
        HttpResponse<String> two = fleet.submit("router-2", workspace(1, "b"));
        List<Integer> codes = List.of(one.join().statusCode(), two.statusCode());
        assertEquals(1, codes.stream().filter(code -> code == 200).count(), codes.toString());
        inForce(1, "router-1", "router-2");
    }

    /**
     * The operator sees the ticket accepted. The store carries the write out and cuts the
     * connection; the router reads the log and finds its own ticket there.
     */
    @Test
    void aTicketWhoseAnswerWasLostIsAcceptedAndInForce() {
        fleet.router("router-1").router("router-2");
        fleet.store.setFault(Fault.of(Fault.Mode.LOSE_ANSWERS).times(1));
        accepted("router-1", workspace(1, "a"));
        inForce(1, "router-1", "router-2");
    }

    /**
     * Callers of a router that starts in an outage are served by the newest configuration. The
     * store is down, so the newcomer asks the relays that the list names, takes what they have and
     * the age of their confirmation, and finds the agents with them too.
     */
    @Test
    void aRouterThatStartsInAnOutageTakesAllFromItsPeers() {
        fleet.router("router-1").agent("agent-1");
        accepted("router-1", service(1));
        inForce(1, "router-1", "agent-1");
        served("router-1");
        fleet.store.setFault(Fault.of(Fault.Mode.DOWN));
        fleet.router("router-2");
        inForce(1, "router-2");
        await().atMost(SOON).until(() -> fleet.isReady("router-2"));
        served("router-2");
    }

    /**
     * A caller whose key is withdrawn is refused on its open connection within seconds, and so is
     * its request that waits at an agent, which the upstream never sees. The agent's one place is
     * taken by another request; the ticket comes in meanwhile. The router has handed the request
     * over and can't know that the agent didn't begin it, so it doesn't say "not run".
     */
    @Test
    void aWithdrawnKeyStopsWorkingOnOpenConnectionsAndForRequestsThatWait() {
        fleet.close();
        fleet = new LocalFleet(Duration.ofSeconds(8));
        fleet.router("router-1").router("router-2").agent("agent-1");
        accepted("router-1", service(1));
        inForce(1, "router-1", "router-2", "agent-1");
        await().atMost(SOON).until(() -> agents("router-2") == 1);
        var running = fleet.callLater("router-2", KEY, PAY + "/1");
        await().atMost(SOON).until(() -> fleet.service.log().entries().size() == 1);
        var waiting = fleet.callLater("router-2", KEY, PAY + "/2");
        await().atMost(SOON).until(() -> running("router-2") == 2);
        accepted("router-1", key(2, "withdrawn"));
        HttpResponse<String> refused = waiting.join();
        assertEquals(401, refused.statusCode(), refused.body());
        assertTrue(refused.body().contains("key_withdrawn"), refused.body());
        assertEquals(401, fleet.call("router-2", KEY, PAY).statusCode());
        running.join();
        assertEquals(1, fleet.service.log().entries().size());
    }

    /**
     * A caller's key is found nowhere behind the router. It comes with requests that are served,
     * refused and repeated; the frames between router and agent, what the upstream got, the store,
     * the time lines, the metrics, the logs and the answers are searched for it.
     */
    @Test
    void aCallersKeyIsFoundNowhere() {
        CapturedLog log = CapturedLog.attached();
        fleet.agent("agent-1");
        try (WireTap tap = new WireTap(fleet.ready("agent-1").peerPort())) {
            await().atMost(SOON).until(() -> fleet.storeContents().contains("/agents/agent-1"));
            fleet.redirect("agent-1", tap.port());
            fleet.router("router-1");
            await().atMost(SOON).until(() -> !tap.seen().isEmpty());
            accepted("router-1", service(1));
            inForce(1, "router-1", "agent-1");
            served("router-1");
            String answers =
                    fleet.call("router-1", KEY, PAY).body()
                            + fleet.call("router-1", KEY, "/v1/services/none/x").body()
                            + fleet.call("router-1", KEY + "-unknown", PAY).body()
                            + fleet.submit("router-1", service(1).replace("}", "")).body();
            accepted("router-1", key(2, "withdrawn"));
            inForce(2, "router-1", "agent-1");
            answers += fleet.call("router-1", KEY, PAY).body();
            for (String vm : List.of("router-1", "agent-1")) {
                answers += fleet.operatorGet(vm, "/operator/v1/timeline");
                answers += fleet.operatorGet(vm, "/operator/v1/status");
                answers += fleet.operatorGet(vm, "/operator/v1/metrics");
            }
            assertTrue(tap.seen().contains("POST"), "the tap saw no request");
            assertNoKey("frames", tap.seen());
            assertNoKey("upstream", fleet.service.log().entries().toString());
            assertNoKey("store", fleet.storeContents());
            assertNoKey("answers", answers);
        } finally {
            log.stop();
        }
        assertNoKey("log", log.text());
    }

    private static void assertNoKey(String where, String text) {
        assertFalse(text.contains(KEY), "the planted key is in: " + where);
    }

    private JsonNode accepted(String router, String ticket) {
        HttpResponse<String> response = fleet.submit(router, ticket);
        assertEquals(200, response.statusCode(), response.body());
        return LocalFleet.json(response.body());
    }

    private void inForce(long sequence, String... vms) {
        for (String vm : vms) {
            await().atMost(SOON).until(() -> fleet.sequence(vm) == sequence);
        }
    }

    private void served(String router) {
        await().atMost(SOON).until(() -> fleet.call(router, KEY, PAY).statusCode() == 200);
    }

    private int agents(String router) {
        return LocalFleet.json(fleet.operatorGet(router, "/operator/v1/status"))
                .path("agents")
                .size();
    }

    private int running(String router) {
        return LocalFleet.json(fleet.operatorGet(router, "/operator/v1/status"))
                .path("running")
                .asInt();
    }

    private static String workspace(long number, String id) {
        return "{\"number\":%d,\"workspaces\":[{\"id\":\"%s\",\"rate\":1000,\"burst\":1000}]}"
                .formatted(number, id);
    }

    private static String service(long number) {
        return """
        {"number":%d,"workspaces":[{"id":"kitchens","rate":100000,"burst":100000}],
        "keys":[{"id":"k","workspace":"kitchens","key":"%s","state":"granted"}],
        "services":[{"name":"pay","pool":"payments"}]}\
        """
                .formatted(number, KEY);
    }

    private static String key(long number, String state) {
        return """
        {"number":%d,"keys":[{"id":"k","workspace":"kitchens","key":"%s","state":"%s"}]}\
        """
                .formatted(number, KEY, state);
    }

    /** What is logged at any level. */
    private static final class CapturedLog extends AbstractAppender {
        private final StringBuffer lines = new StringBuffer();

        private CapturedLog() {
            super("captured", null, null, true, Property.EMPTY_ARRAY);
        }

        static CapturedLog attached() {
            CapturedLog log = new CapturedLog();
            log.attach();
            return log;
        }

        private void attach() {
            super.start();
            LoggerContext.getContext(false)
                    .getConfiguration()
                    .getRootLogger()
                    .addAppender(this, null, null);
        }

        @Override
        public void stop() {
            LoggerContext.getContext(false)
                    .getConfiguration()
                    .getRootLogger()
                    .removeAppender(getName());
            super.stop();
        }

        @Override
        public void append(LogEvent event) {
            lines.append(event.getMessage().getFormattedMessage()).append('\n');
        }

        String text() {
            return lines.toString();
        }
    }
}
