package io.damaskyoke.daemons;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.standins.Fault;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OutageFleetTest {
    private static final Duration LIMIT = Duration.ofSeconds(40);
    private static final Pattern CONFIRMATIONS =
            Pattern.compile("outage_confirmations\\S* ([0-9]+)");

    private static final Pattern AGE =
            Pattern.compile("(?m)^\\S*configuration_confirmed_age_ms\\S* ([-0-9.E]+)");

    // Each comes three seconds after the one before, so that four take longer than the limit.
    private static final int LONGER_THAN_THE_LIMIT = 4;

    private final TestFleet fleet =
            TestFleet.builder()
                    .routers(2)
                    .services(1)
                    .routerExtra("[control]\nunconfirmed-limit = \"6s\"\n")
                    .start();

    @AfterEach
    void close() {
        fleet.close();
    }

    /**
     * Callers go on being served while the store is down for longer than the limit. Both routers
     * say that they have no open write and no newer entry, so nothing can have been withdrawn.
     */
    @Test
    void anOutageLongerThanTheLimitStopsNobody() {
        // Who came and went before a router first read the list is settled by a later confirmation.
        awaitNewConfirmation("router-1");
        awaitNewConfirmation("router-2");
        fleet.kv().setFault(Fault.of(Fault.Mode.DOWN));
        for (int router = 0; router < 2; router++) {
            int which = router;
            await().atMost(LIMIT)
                    .until(
                            () -> {
                                assertServed(0);
                                assertServed(1);
                                return confirmations(which) >= LONGER_THAN_THE_LIMIT;
                            });
        }
    }

    /**
     * Callers are refused as not run once a router on the list is silent for longer than the limit.
     * The router may be dead, or cut off and taking tickets where the store can be reached.
     */
    @Test
    void aRouterWhosePeerIsSilentStopsAfterTheLimit() {
        fleet.kv().setFault(Fault.of(Fault.Mode.DOWN));
        fleet.process("router-2").stop();
        await().atMost(LIMIT).until(() -> look(0).statusCode() == 503);
        HttpResponse<String> refused = look(0);
        assertTrue(refused.body().contains("configuration_unconfirmed"), refused.body());
        assertTrue(refused.body().contains("\"not_run\":true"), refused.body());
    }

    private void awaitNewConfirmation(String router) {
        AtomicLong last = new AtomicLong();
        await().atMost(LIMIT)
                .until(
                        () -> {
                            long age = confirmedAge(router);
                            return age < last.getAndSet(age);
                        });
    }

    private long confirmedAge(String router) {
        String metrics = fleet.operator(router, "/operator/v1/metrics").body();
        Matcher found = AGE.matcher(metrics);
        assertTrue(found.find(), metrics);
        return (long) Double.parseDouble(found.group(1));
    }

    private void assertServed(int router) {
        HttpResponse<String> answer = look(router);
        assertEquals(200, answer.statusCode(), answer.body());
    }

    private HttpResponse<String> look(int router) {
        return fleet.lookUp(router, "/lease/1");
    }

    private int confirmations(int router) {
        String metrics = fleet.operator("router-" + (router + 1), "/operator/v1/metrics").body();
        Matcher found = CONFIRMATIONS.matcher(metrics);
        return found.find() ? Integer.parseInt(found.group(1)) : 0;
    }
}
