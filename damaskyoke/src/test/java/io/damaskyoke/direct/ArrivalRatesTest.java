package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.upstreams.ModelRef;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ArrivalRatesTest {
    private static final ModelRef MODEL = ModelRef.parse("m");

    private final ArrivalRates rates = new ArrivalRates();
    private Instant now = Instant.ofEpochSecond(100);

    @Test
    void aBusyModelWithoutRequestsIsNotBusyAfterFourSeconds() {
        // Guards against a model that counts as busy after demand has moved to another one: its
        // replicas would occupy the memory that the other model's callers wait for.
        arrive(200, 50);
        assertTrue(rate() > 10, "busy " + rate());
        now = now.plusSeconds(4);
        assertTrue(rate() < 2, "silent " + rate());
    }

    @Test
    void aRareModelIsNotForgottenBetweenTwoRequests() {
        arrive(8, 3_000);
        now = now.plusMillis(2_900);
        assertTrue(rate() > 0.1, "rare " + rate());
    }

    private void arrive(int times, int gapMillis) {
        for (int i = 0; i < times; i++) {
            now = now.plusMillis(gapMillis);
            rates.recordArrival(MODEL, now);
        }
    }

    private double rate() {
        return rates.ratesPerSecond(now).getOrDefault(MODEL, 0.0);
    }
}
