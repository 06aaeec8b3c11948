package io.damaskyoke.control.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RecentOutcomesTest {
    private static final CrashSuspect ONE = CrashSuspect.request("01");
    private static final Instant SENT = Instant.ofEpochSecond(100);

    private final RecentOutcomes recent = new RecentOutcomes(2);

    @Test
    void aSuccessIsRememberedWithItsTimes() {
        recent.recordSuccess(ONE, SENT, SENT.plusSeconds(1));
        assertEquals(
                Optional.of(new RecentOutcomes.Success(SENT, SENT.plusSeconds(1))),
                recent.outcomeOf(ONE).lastSuccess());
    }

    @Test
    void survivedRunsAreCountedSinceTheLastSuccess() {
        recent.recordSurvivedRun(ONE);
        recent.recordSuccess(ONE, SENT, SENT.plusSeconds(1));
        recent.recordSurvivedRun(ONE);
        recent.recordSurvivedRun(ONE);
        assertEquals(2, recent.outcomeOf(ONE).survivedRuns());
    }

    // Guards against memory use that grows with each answer.
    @Test
    void theLeastRecentlySeenRequestIsEvicted() {
        recent.recordSurvivedRun(ONE);
        recent.recordSurvivedRun(CrashSuspect.request("02"));
        recent.recordSurvivedRun(CrashSuspect.request("03"));
        assertEquals(0, recent.outcomeOf(ONE).survivedRuns());
    }
}
