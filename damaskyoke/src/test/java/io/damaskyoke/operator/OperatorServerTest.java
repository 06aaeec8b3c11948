package io.damaskyoke.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.configuration.ConfigurationService;
import io.damaskyoke.control.configuration.KeyHasher;
import io.damaskyoke.control.configuration.TicketException;
import io.damaskyoke.control.configuration.TicketParser;
import io.damaskyoke.control.configuration.TicketResult;
import io.damaskyoke.platform.FakeStore;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.Timeline;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.actor.ActorSystem;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class OperatorServerTest {
    private static final String TICKET =
            "{\"number\":1,\"workspaces\":[{\"id\":\"a\",\"rate\":5,\"burst\":5}]}";
    private static ActorSystem system;

    private final HttpClient client = HttpClient.newHttpClient();
    private final AtomicReference<String> notReady = new AtomicReference<>();
    private final Timeline timeline =
            Timeline.of("router-1", HybridClock.over(() -> Instant.ofEpochMilli(5_000)), 100);
    private final TestControlThread control = new TestControlThread();
    private final ConfigurationService configuration =
            ConfigurationService.builder(control, new FakeStore(), timeline).build();
    private OperatorServer server =
            start(
                    Tickets.of(
                            TicketParser.withHasher(KeyHasher.of("0123456789abcdef")),
                            configuration));

    @BeforeAll
    static void startSystem() {
        system = ActorSystem.create("operator-server-test");
    }

    @AfterAll
    static void stopSystem() {
        system.terminate();
        system.getWhenTerminated().toCompletableFuture().join();
    }

    @AfterEach
    void stop() {
        server.stop(Duration.ofMillis(1)).toCompletableFuture().join();
    }

    @Test
    void aTicketIsAcceptedAndFoundByItsNumber() throws Exception {
        HttpResponse<String> accepted = post("application/json", TICKET);
        assertEquals(200, accepted.statusCode());
        assertTrue(accepted.body().contains("\"state\":\"accepted\",\"sequence\":1"));
        assertEquals(accepted.body(), get("/operator/v1/tickets/1").body());
        assertError(404, "not_found", get("/operator/v1/tickets/2"));
        assertError(400, "bad_request", get("/operator/v1/tickets/x"));
    }

    @Test
    void aTicketThatCanNotBeIsRefusedWithTheReason() throws Exception {
        post("application/json", TICKET);
        assertError(400, "malformed", post("application/json", "{"));
        assertError(409, "number_reused", post("application/json", TICKET.replace('5', '6')));
        assertError(415, "unsupported_media_type", post("text/plain", TICKET));
        assertError(413, "body_too_large", post("application/json", " ".repeat(600_000) + TICKET));
        assertError(405, "method_not_allowed", get("/operator/v1/tickets"));
        assertError(404, "not_found", get("/operator/v1/nothing"));
    }

    /**
     * The operator learns that the ticket may be in force, and when to come back. The store's
     * answer was lost and the store went down; not_run must not be claimed.
     */
    @Test
    void aTicketWhoseFateIsUnknownIsNotCalledNotRun() throws Exception {
        restart(
                new Tickets() {
                    @Override
                    public CompletionStage<TicketResult> submit(byte[] json) {
                        return CompletableFuture.completedFuture(
                                new TicketResult.Refused(
                                        1, TicketException.Code.OUTCOME_UNKNOWN, "lost", false));
                    }

                    @Override
                    public CompletionStage<Optional<TicketResult.Accepted>> find(long number) {
                        throw new IllegalStateException("must not reach the operator");
                    }
                });
        HttpResponse<String> answer = post("application/json", TICKET);
        assertEquals(503, answer.statusCode());
        assertTrue(answer.body().contains("\"not_run\":false"), answer.body());
        assertTrue(answer.headers().firstValue("Retry-After").isPresent());
        HttpResponse<String> failed = get("/operator/v1/tickets/1");
        assertEquals(500, failed.statusCode());
        assertFalse(failed.body().contains("must not reach"), failed.body());
    }

    @Test
    void allButHealthNeedsTheToken() throws Exception {
        for (String token : new String[] {"", "Bearer wrong", "token"}) {
            HttpRequest request =
                    request("/operator/v1/status").setHeader("Authorization", token).build();
            assertError(401, "unauthorized", client.send(request, BodyHandlers.ofString()));
        }
        HttpRequest live = HttpRequest.newBuilder(uri("/health/live")).build();
        assertEquals(200, client.send(live, BodyHandlers.ofString()).statusCode());
    }

    @Test
    void readinessTellsTheReason() throws Exception {
        assertEquals(200, get("/health/ready").statusCode());
        notReady.set("configuration not read yet");
        HttpResponse<String> answer = get("/health/ready");
        assertEquals(503, answer.statusCode());
        assertEquals("configuration not read yet\n", answer.body());
    }

    @Test
    void statusAndMetricsArePrinted() throws Exception {
        assertEquals("{\"role\":\"router\"}", get("/operator/v1/status").body());
        assertEquals("requests 3\n", get("/operator/v1/metrics").body());
    }

    @Test
    void theTimelineIsFiltered() throws Exception {
        timeline.add(EventType.LOADED, "cut-sheet", Map.of("ms", "812"));
        timeline.add(EventType.REQUEST, "r-1", Map.of("workspace", "a", "model", "cut-sheet"));
        assertEquals(2, lines("?model=cut-sheet"));
        assertEquals(1, lines("?request=r-1&workspace=a"));
        assertEquals(0, lines("?workspace=b"));
        assertEquals(2, lines("?vm=router-1"));
        assertEquals(0, lines("?since=5001"));
        assertEquals(
                "{\"time\":5000,\"counter\":0,\"process\":\"router-1\",\"type\":\"loaded\","
                        + "\"subject\":\"cut-sheet\",\"details\":{\"ms\":\"812\"}}",
                get("/operator/v1/timeline").body().lines().findFirst().orElseThrow());
        assertError(400, "bad_request", get("/operator/v1/timeline?modell=x"));
        assertError(400, "bad_request", get("/operator/v1/timeline?since=yesterday"));
    }

    @Test
    void aProcessWithoutTicketsAnswersThatItOffersNone() throws Exception {
        restart(null);
        assertError(404, "not_found", post("application/json", TICKET));
    }

    private OperatorServer start(Tickets tickets) {
        return OperatorServer.builder(system)
                .address("127.0.0.1", 0)
                .token("token")
                .tickets(tickets)
                .status(() -> Map.of("role", "router"))
                .timeline(timeline)
                .metrics(() -> "requests 3\n")
                .ready(() -> Optional.ofNullable(notReady.get()))
                .start()
                .toCompletableFuture()
                .join();
    }

    private void restart(Tickets tickets) {
        stop();
        server = start(tickets);
    }

    private long lines(String query) throws Exception {
        return get("/operator/v1/timeline" + query).body().lines().count();
    }

    private HttpResponse<String> get(String path) throws Exception {
        return client.send(request(path).build(), BodyHandlers.ofString());
    }

    private HttpResponse<String> post(String type, String body) throws Exception {
        HttpRequest request =
                request("/operator/v1/tickets")
                        .header("Content-Type", type)
                        .POST(BodyPublishers.ofString(body))
                        .build();
        return client.send(request, BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(uri(path)).setHeader("Authorization", "Bearer token");
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + server.port() + path);
    }

    private static void assertError(int status, String code, HttpResponse<String> answer) {
        assertEquals(status, answer.statusCode(), answer.body());
        assertTrue(answer.body().contains("\"code\":\"" + code + "\""), answer.body());
    }
}
