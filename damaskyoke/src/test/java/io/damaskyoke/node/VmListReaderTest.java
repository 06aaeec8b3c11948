package io.damaskyoke.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class VmListReaderTest {
    private final TestControlThread control = new TestControlThread();
    private int readings;

    // Guards against one list that a listener can't take, after which none is read any more.
    @Test
    void aListThatAListenerCantTakeIsNotTheLast() {
        VmListReader reader =
                new VmListReader(
                        control,
                        () -> CompletableFuture.completedFuture(List.of()),
                        () -> Duration.ofSeconds(1),
                        new Metrics());
        reader.onRead(
                (vms, askedAt) -> {
                    readings++;
                    throw new IllegalArgumentException("port must be 1 to 65535: 0");
                });
        reader.read();
        for (int second = 0; second < 3; second++) {
            assertThrows(
                    IllegalArgumentException.class, () -> control.advance(Duration.ofSeconds(1)));
        }
        assertEquals(4, readings);
    }
}
