package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.upstreams.DrainedZones;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ZoneDrainsTest {
    private static final Instant NOW = Instant.ofEpochSecond(100);
    private static final byte[] NOTHING = new byte[0];

    private final DrainedZones zones = new DrainedZones(Duration.ofSeconds(5));
    private final List<String> told = new ArrayList<>();
    private final ZoneDrains drains =
            new ZoneDrains(new TestDialect(), zones, Set.of("a", "b"), new Told());

    @Test
    void aDrainIsToldOnce() {
        drains.accepted("a", NOTHING, 3, NOW);
        drains.accepted("a", NOTHING, 4, NOW);
        drains.takenBack("a", 5);
        assertEquals(List.of("drained a", "restored a"), told);
    }

    @Test
    void anUnknownZoneAnUnreadableValueAndAnEndOfNoDrainChangeNothing() {
        drains.accepted("nowhere", NOTHING, 3, NOW);
        drains.accepted("a", new byte[] {7}, 4, NOW);
        drains.takenBack("b", 5);
        drains.takenBack("nowhere", 6);
        assertEquals(Map.of(), zones.all());
        assertEquals(List.of(), told);
    }

    // Guards against an old change that is told after newer ones, and would open the zone again.
    @Test
    void whatIsOlderThanWhatIsKnownIsLeftOut() {
        drains.told(new RouterStatus.DrainStatus(9, Map.of("a", NOW)));
        drains.accepted("b", NOTHING, 7, NOW);
        drains.takenBack("a", 8);
        drains.onlyThese(Set.of(), 9);
        assertEquals(Set.of("a"), zones.all().keySet());
        drains.told(new RouterStatus.DrainStatus(8, Map.of()));
        assertEquals(Set.of("a"), zones.all().keySet());
    }

    @Test
    void anotherRouterThatKnowsMoreIsBelieved() {
        drains.accepted("a", NOTHING, 3, NOW);
        drains.told(new RouterStatus.DrainStatus(5, Map.of("b", NOW)));
        assertEquals(Set.of("b"), zones.all().keySet());
        assertEquals(List.of("drained a", "restored a", "drained b"), told);
    }

    /** Notes what is told. */
    private final class Told implements ZoneDrains.Listener {
        @Override
        public void drained(String zone) {
            told.add("drained " + zone);
        }

        @Override
        public void restored(String zone) {
            told.add("restored " + zone);
        }
    }
}
