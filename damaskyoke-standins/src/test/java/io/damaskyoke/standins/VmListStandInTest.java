package io.damaskyoke.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class VmListStandInTest {
    private static final VmEntry ROUTER =
            new VmEntry("router-1", "router", "kochi-1", "127.0.0.1", 7001, 7002, "live");

    private final ManualClock clock = new ManualClock();
    private final VmListStandIn list = VmListStandIn.start(0, Duration.ofSeconds(3), clock);
    private final Client client = new Client(list.url());

    @AfterEach
    void stop() {
        list.close();
    }

    @Test
    void changesShowAfterTheLag() {
        list.put(ROUTER);
        clock.advance(Duration.ofSeconds(2));
        client.post("/vms", Json.tree(ROUTER.withState("leaving")).toString());
        assertEquals(0, client.read("/vms").get("vms").size());
        clock.advance(Duration.ofSeconds(1));
        assertEquals("live", client.read("/vms").at("/vms/0/state").textValue());
        assertEquals("kochi-1", client.read("/vms").at("/vms/0/availability_zone").textValue());
        clock.advance(Duration.ofSeconds(2));
        assertEquals("leaving", client.read("/vms").at("/vms/0/state").textValue());
    }

    @Test
    void listIsReplacedAndEntriesDeleted() {
        String vms = "{\"vms\":[" + Json.tree(ROUTER) + "]}";
        assertEquals(200, client.call("PUT", "/vms", vms).statusCode());
        clock.advance(Duration.ofSeconds(3));
        assertEquals(1, client.read("/vms").get("vms").size());
        assertEquals(200, client.call("DELETE", "/vms/router-1", "").statusCode());
        assertEquals(404, client.call("DELETE", "/vms/router-1", "").statusCode());
        clock.advance(Duration.ofSeconds(3));
        assertEquals(0, list.shown().size());
    }

    @Test
    void rubbishIsRefused() {
        assertEquals(400, client.call("POST", "/vms", "{\"vm\":\"x\"}").statusCode());
        assertEquals(400, client.call("PUT", "/vms", "[1]").statusCode());
    }
}
