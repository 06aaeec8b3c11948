package io.damaskyoke.daemons;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class FleetFailureTest {
    @Test
    void aWholeDeploymentServesInOneJvm() {
        try (TestFleet fleet = TestFleet.builder().routers(2).engines(1).services(1).start()) {
            assertEquals(200, fleet.chat(1, "cut-sheet", "two sinks").statusCode());
            assertEquals(200, fleet.pay(0, "{\"lease\":7}", "").join().statusCode());
            assertEquals(1, fleet.service("service-1").executions("{\"lease\":7}"));
        }
    }
}
