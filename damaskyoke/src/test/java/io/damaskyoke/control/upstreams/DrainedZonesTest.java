package io.damaskyoke.control.upstreams;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class DrainedZonesTest {
    private static final Instant NOT_YET_AT = Instant.ofEpochSecond(100);

    private final DrainedZones zones = new DrainedZones(Duration.ofSeconds(5));

    @Test
    void aDrainedZoneStaysOpenForAWhileAndIsThenClosed() {
        zones.drain("a", NOT_YET_AT);
        assertTrue(zones.isDrained("a"));
        assertFalse(zones.isClosed("a", NOT_YET_AT.plusMillis(3_900)));
        assertTrue(zones.isClosed("a", NOT_YET_AT.plusMillis(4_000)));
        assertFalse(zones.isClosed("b", NOT_YET_AT.plusSeconds(60)));
    }

    // Guards against a router that has just started and gives an old drain its full time again.
    @Test
    void aDrainOfUnknownAgeClosesAtOnce() {
        zones.drain("a", Instant.MIN);
        assertTrue(zones.isClosed("a", NOT_YET_AT));
    }

    // Guards against a later report of the same drain, which would keep the zone open for longer.
    @Test
    void theEarlierOfTwoReportsOfADrainApplies() {
        zones.drain("a", NOT_YET_AT);
        zones.drain("a", NOT_YET_AT.plusSeconds(3));
        assertTrue(zones.isClosed("a", NOT_YET_AT.plusSeconds(4)));
        zones.drain("a", NOT_YET_AT.minusSeconds(3));
        assertTrue(zones.isClosed("a", NOT_YET_AT.plusSeconds(1)));
    }

    @Test
    void aNewDrainAfterARestoreHasItsFullTime() {
        zones.drain("a", NOT_YET_AT);
        assertTrue(zones.restore("a"));
        assertFalse(zones.restore("a"));
        assertFalse(zones.isClosed("a", NOT_YET_AT.plusSeconds(60)));
        zones.drain("a", NOT_YET_AT.plusSeconds(60));
        assertFalse(zones.isClosed("a", NOT_YET_AT.plusSeconds(61)));
    }

    @Test
    void aNegativeLimitIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new DrainedZones(Duration.ofMillis(-1)));
    }
}
