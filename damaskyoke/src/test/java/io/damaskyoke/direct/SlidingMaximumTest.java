package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.TestControlThread;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class SlidingMaximumTest {
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final TestControlThread control = new TestControlThread();
    private int routers = 4;
    private final SlidingMaximum maximum =
            new SlidingMaximum(() -> routers, control.clock(), WINDOW);

    // Guards against routers whose entries expired in an outage: each then takes the whole of what
    // all of them share, such as retries.
    @Test
    void routersMissingBrieflyStillCount() {
        assertEquals(4, maximum.value());
        routers = 1;
        control.advance(Duration.ofSeconds(3));
        assertEquals(4, maximum.value());
        routers = 4;
        control.advance(Duration.ofSeconds(9));
        assertEquals(4, maximum.value());
    }

    @Test
    void routersMissingForTheWindowNoLongerCount() {
        assertEquals(4, maximum.value());
        routers = 2;
        control.advance(WINDOW);
        assertEquals(2, maximum.value());
        routers = 3;
        assertEquals(3, maximum.value());
    }
}
