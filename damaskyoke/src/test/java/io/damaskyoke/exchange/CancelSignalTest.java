package io.damaskyoke.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class CancelSignalTest {
    private final CancelSignal signal = new CancelSignal();
    private final AtomicInteger runs = new AtomicInteger();

    @Test
    void actionsRunOnceEvenIfCancelledTwice() {
        signal.onCancel(runs::incrementAndGet);
        signal.cancel();
        signal.cancel();
        assertEquals(1, runs.get());
    }

    @Test
    void anActionRegisteredAfterTheCancelRunsAtOnce() {
        signal.cancel();
        signal.onCancel(runs::incrementAndGet);
        assertEquals(1, runs.get());
        assertTrue(signal.cancelled());
    }
}
