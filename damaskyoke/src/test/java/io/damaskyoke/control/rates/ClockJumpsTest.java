package io.damaskyoke.control.rates;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.SuspendAwareClock;
import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ClockJumpsTest {
    private static final double PER_SECOND = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private long nanos;
    private Instant timeOfDay = Instant.ofEpochSecond(1_000);
    private final SuspendAwareClock clock = new SuspendAwareClock(() -> nanos, () -> timeOfDay);

    // Guards against tokens that never accrued, given out at each forward jump of the time of day.
    @Test
    void jumpsOfTheTimeOfDayGiveOutNoTokens() {
        Workspace workspace =
                new Workspace(WorkspaceId.of("growers"), PER_SECOND, 100 * PER_SECOND, 1);
        WorkspaceAccount account =
                new WorkspaceAccount(workspace, clock.instant(), any -> clock.steady().instant());
        account.advance(ShareTable.WHOLE, 0, clock.instant());
        for (int jump = 0; jump < 16; jump++) {
            pass(250);
            timeOfDay = timeOfDay.plusMillis(jump % 2 == 0 ? 2_400 : -2_400);
            account.advance(ShareTable.WHOLE, 0, clock.instant());
        }
        assertEquals(4 * PER_SECOND, account.available(), 1);
    }

    private void pass(long millis) {
        nanos += millis * NANOS_PER_MILLI;
        timeOfDay = timeOfDay.plusMillis(millis);
    }
}
