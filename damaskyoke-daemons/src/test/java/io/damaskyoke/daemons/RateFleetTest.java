package io.damaskyoke.daemons;

import static org.awaitility.Awaitility.await;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What a workspace gets of its rate at several routers together. */
class RateFleetTest {
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final int BURST = 60;
    private static final int SENT_TO_EACH = 2 * BURST;

    private TestFleet fleet;

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void theShareOfAStoppedRouterIsUsedByTheOther() {
        // One of two routers is stopped. The other serves a request that needs most of the burst
        // (40 tokens for the answer, some 10 for the prompt), which its own share could never hold
        // and nobody is left to lend.
        fleet = fleet(30);
        bothRouters();
        fleet.process("router-1").stop();
        await().atMost(LIMIT).until(() -> largeChat(1).statusCode() == 200);
    }

    private static TestFleet fleet(int rate) {
        String limits = "\"rate\": %d, \"burst\": %d".formatted(rate, BURST);
        String ticket =
                TestFleet.FIRST_TICKET.replace("\"rate\": 100000, \"burst\": 1000000", limits);
        return TestFleet.builder().routers(2).engines(1).services(1).ticket(ticket).start();
    }

    private List<HttpResponse<String>> bothRouters() {
        CompletableFuture<List<HttpResponse<String>>> other =
                CompletableFuture.supplyAsync(() -> lookUps(1));
        List<HttpResponse<String>> first = lookUps(0);
        return Stream.concat(first.stream(), other.join().stream()).toList();
    }

    private List<HttpResponse<String>> lookUps(int router) {
        return IntStream.range(0, SENT_TO_EACH)
                .mapToObj(number -> fleet.lookUp(router, "/leases/" + number))
                .toList();
    }

    private HttpResponse<String> largeChat(int router) {
        return fleet.chatWithLimit(router, "cut-sheet", "two sinks", BURST * 2 / 3);
    }
}
