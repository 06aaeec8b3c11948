package io.damaskyoke.control.upstreams;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class DrainedZonesTest {
    private static final Instant ASKED = Instant.ofEpochSecond(100);

    private final DrainedZones zones = new DrainedZones(Duration.ofSeconds(5));

    @Test
    void aDrainedZoneIsSentToForAWhileAndThenClosed() {
        zones.drain("a", ASKED);
        assertTrue(zones.isDrained("a"));
        assertFalse(zones.isClosed("a", ASKED.plusMillis(3_900)));
        assertTrue(zones.isClosed("a", ASKED.plusMillis(4_000)));
        assertFalse(zones.isClosed("b", ASKED.plusSeconds(60)));
    }

    // Guards against a router that has just started and gives an old drain its full time again.
    @Test
    void aDrainOfUnknownAgeClosesAtOnce() {
        zones.drain("a", Instant.MIN);
        assertTrue(zones.isClosed("a", ASKED));
    }

    // Guards against a later report of the same drain, which would keep the zone open for longer.
    @Test
    void theEarlierOfTwoWordsCounts() {
        zones.drain("a", ASKED);
        zones.drain("a", ASKED.plusSeconds(3));
        assertTrue(zones.isClosed("a", ASKED.plusSeconds(4)));
        zones.drain("a", ASKED.minusSeconds(3));
        assertTrue(zones.isClosed("a", ASKED.plusSeconds(1)));
    }

    @Test
    void aDrainThatIsAskedForAgainHasItsTimeAgain() {
        zones.drain("a", ASKED);
        assertTrue(zones.restore("a"));
        assertFalse(zones.restore("a"));
        assertFalse(zones.isClosed("a", ASKED.plusSeconds(60)));
        zones.drain("a", ASKED.plusSeconds(60));
        assertFalse(zones.isClosed("a", ASKED.plusSeconds(61)));
    }

    @Test
    void aLimitBelowZeroIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> new DrainedZones(Duration.ofMillis(-1)));
    }
}
