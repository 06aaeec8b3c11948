package io.damaskyoke.daemons;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class StopTwiceTest {
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void aProcessThatIsToldToStopTwiceStopsOnce() {
        // A signal comes while an operator's stop is under way, or after it. The second stop would
        // wait for a control thread that has ended, and the process would hang until it is killed.
        TestFleet fleet = TestFleet.builder().services(1).start();
        for (String name : new String[] {"service-1", "router-1"}) {
            FleetProcess process = fleet.process(name);
            CompletableFuture<Void> first = CompletableFuture.runAsync(process::stop);
            CompletableFuture<Void> second = CompletableFuture.runAsync(process::stop);
            CompletableFuture.allOf(first, second).join();
            process.stop();
        }
        assertThrows(UncheckedIOException.class, () -> fleet.lookUp(0, "/leases/1"));
        fleet.close();
    }
}
