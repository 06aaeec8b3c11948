package io.damaskyoke.control.loads;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.loads.StoreLoadLimiter.Purpose;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class StoreLoadLimiterTest {
    private static final Instant START = Instant.ofEpochSecond(100);
    private static final Duration LOAD_TIME = Duration.ofSeconds(5);
    private static final EngineSpec SPEC = new EngineSpec(4, 1_000, 100, 8, 18, Map.of());

    private final StoreLoadLimiter limiter = new StoreLoadLimiter(Duration.ofSeconds(5));

    @Test
    void loadsAheadOfNeedLeaveOneOfTheLoadsAtFullSpeed() {
        assertEquals(4, allowed(Purpose.NEEDED));
        assertEquals(3, allowed(Purpose.AHEAD));
    }

    // Guards against loads that all slow each other down because the first estimate is too high.
    @Test
    void beforeTheFirstRequestTheFirstEstimateIsNotUsedUp() {
        assertEquals(3, allowed(Purpose.BEFORE_REQUESTS));
    }

    // Guards against a store that is half idle while no request needs the load that is left.
    @Test
    void beforeTheFirstRequestAnEstimateFromLoadsIsUsedUp() {
        finishOneOfFourAtHalfSpeed();
        assertEquals(2, limiter.fullSpeedLoads());
        assertEquals(2, allowed(Purpose.BEFORE_REQUESTS));
        assertEquals(1, allowed(Purpose.AHEAD));
    }

    private void finishOneOfFourAtHalfSpeed() {
        Duration took = LOAD_TIME.multipliedBy(2);
        limiter.recordRunning(4, START);
        limiter.loadStarted(1, START);
        limiter.recordRunning(4, START.plus(took));
        limiter.loadFinished(1, LOAD_TIME, took);
    }

    private int allowed(Purpose purpose) {
        int chosen = 0;
        while (limiter.allows(SPEC, List.of(), chosen, purpose, START.plusSeconds(60))) {
            chosen++;
        }
        return chosen;
    }
}
